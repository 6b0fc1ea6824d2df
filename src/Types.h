#pragma once

/** \file
 * Strong types for the ids and units that all modules share.
 *
 * An `Identifier` wraps a string and a `Quantity` wraps a number, each with a tag, so that a zone
 * cannot be passed for a target nor tokens for bytes. Both are small value types with ordinary comparison.
 * All of their functions are pure and thread-safe.
 *
 *     ZoneId zone { "gr-central-a" };
 *     TokenCount left = TokenCount { 4096 } - TokenCount { 96 };
 */

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace fescue {

/** A string id for one kind of object. The empty string means "none". */
template <typename Tag> struct Identifier {
    std::string value_;

    bool empty() const { return value_.empty(); }
    friend bool operator==(const Identifier& a, const Identifier& b) { return a.value_ == b.value_; }
    friend bool operator!=(const Identifier& a, const Identifier& b) { return a.value_ != b.value_; }
    friend bool operator<(const Identifier& a, const Identifier& b) { return a.value_ < b.value_; }
};

/** A number with a unit. Arithmetic is defined only within the unit. */
template <typename Tag, typename Number = std::int64_t> struct Quantity {
    Number value_ {};

    friend bool operator==(Quantity a, Quantity b) { return a.value_ == b.value_; }
    friend bool operator!=(Quantity a, Quantity b) { return a.value_ != b.value_; }
    friend bool operator<(Quantity a, Quantity b) { return a.value_ < b.value_; }
    friend bool operator<=(Quantity a, Quantity b) { return a.value_ <= b.value_; }
    friend bool operator>(Quantity a, Quantity b) { return a.value_ > b.value_; }
    friend bool operator>=(Quantity a, Quantity b) { return a.value_ >= b.value_; }
    friend Quantity operator+(Quantity a, Quantity b) { return { a.value_ + b.value_ }; }
    friend Quantity operator-(Quantity a, Quantity b) { return { a.value_ - b.value_ }; }
    Quantity& operator+=(Quantity other)
    {
        value_ += other.value_;
        return *this;
    }
    Quantity& operator-=(Quantity other)
    {
        value_ -= other.value_;
        return *this;
    }
};

/** An availability zone. */
using ZoneId = Identifier<struct ZoneTag>;
/** An entry VM; a restarted VM keeps its name but writes under a new `WriterId`. */
using VmId = Identifier<struct VmTag>;
/** One incarnation of a scheduler process; never reused. */
using WriterId = Identifier<struct WriterTag>;
/** A workspace: the unit of authentication, isolation and budgets of callers. */
using WorkspaceId = Identifier<struct WorkspaceTag>;
/** A program; see ProgramId.h for its form. */
using ProgramId = Identifier<struct ProgramTag>;
/** A model engine or an instance of a tool service. */
using TargetId = Identifier<struct TargetTag>;
/** A model, or a model with an adapter. */
using ModelId = Identifier<struct ModelTag>;
/** A tool service (invoices, permits, ...). */
using ServiceId = Identifier<struct ServiceTag>;

/** Version of the software that a target runs; versions of one service have no order. */
using SoftwareVersion = Identifier<struct SoftwareVersionTag>;

/** Position of a call within its program, from 1. */
using CallNumber = Quantity<struct CallNumberTag, std::uint32_t>;
/** Index of a program shard within its zone, from 0. */
using ShardIndex = Quantity<struct ShardIndexTag, std::uint32_t>;
/** Offset of a record within a log stream, from 1; 0 means "before the first". */
using LogOffset = Quantity<struct LogOffsetTag, std::uint64_t>;
/** Ownership epoch of a shard: the log offset of the claim that started it; 0 means "none". */
using Epoch = Quantity<struct EpochTag, std::uint64_t>;
/** Sequence number of a record among those of its writer, from 1. */
using Sequence = Quantity<struct SequenceTag, std::uint64_t>;
/** Tokens as the engines count them. */
using TokenCount = Quantity<struct TokenCountTag>;
/** Bytes in memory or on the wire. */
using ByteCount = Quantity<struct ByteCountTag>;

/** Duration on a monotonic clock. */
using Milliseconds = std::chrono::milliseconds;
/** Instant on the monotonic clock of one process; never compared between processes. */
using MonotonicTime = std::chrono::time_point<std::chrono::steady_clock, Milliseconds>;

/** The current monotonic time. Only I/O code calls this; decision functions take the time as an argument. */
inline MonotonicTime monotonicNow()
{
    return std::chrono::time_point_cast<Milliseconds>(std::chrono::steady_clock::now());
}

} // namespace fescue

template <typename Tag> struct std::hash<fescue::Identifier<Tag>> {
    std::size_t operator()(const fescue::Identifier<Tag>& id) const noexcept
    {
        return std::hash<std::string>()(id.value_);
    }
};
