#include "PoolScheduler.h"

namespace fescue::bench {

std::vector<std::pair<std::string, MakeScheduler>> poolSchedulers() { return {}; }

} // namespace fescue::bench
