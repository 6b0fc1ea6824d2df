#include "WorkQueue.h"

#include <asio.hpp>
#include <thread>
#include <vector>

namespace fescue {

struct WorkQueue::Impl {
    asio::io_context io_;
    asio::executor_work_guard<asio::io_context::executor_type> guard_ { io_.get_executor() };
    std::vector<std::thread> threads_;

    struct Periodic {
        asio::steady_timer timer_;
        Milliseconds interval_;
        std::function<void()> task_;
    };

    void schedule(const std::shared_ptr<Periodic>& periodic)
    {
        periodic->timer_.expires_after(periodic->interval_);
        periodic->timer_.async_wait([this, periodic](const asio::error_code& error) {
            if (error)
                return;
            periodic->task_();
            schedule(periodic);
        });
    }
};

WorkQueue::WorkQueue(std::size_t threads)
    : impl_(std::make_unique<Impl>())
{
    for (std::size_t i = 0; i < threads; ++i)
        impl_->threads_.emplace_back([impl = impl_.get()] { impl->io_.run(); });
}

WorkQueue::~WorkQueue() { stop(); }

void WorkQueue::post(std::function<void()> task) { asio::post(impl_->io_, std::move(task)); }

void WorkQueue::runEvery(Milliseconds interval, std::function<void()> task)
{
    auto periodic = std::make_shared<Impl::Periodic>(
        Impl::Periodic { asio::steady_timer(impl_->io_), interval, std::move(task) });
    impl_->schedule(periodic);
}

void WorkQueue::stop()
{
    impl_->io_.stop();
    for (std::thread& thread : impl_->threads_)
        thread.join();
    impl_->threads_.clear();
}

} // namespace fescue
