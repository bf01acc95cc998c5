#include "net/descriptor_limit.hpp"

#include <sys/resource.h>

#include <limits>

namespace anisehold::net {

std::size_t descriptor_limit() {
    rlimit limits{};
    const bool is_known = getrlimit(RLIMIT_NOFILE, &limits) == 0 && limits.rlim_cur != RLIM_INFINITY;
    return is_known ? static_cast<std::size_t>(limits.rlim_cur) : std::numeric_limits<int>::max();
}

}  // namespace anisehold::net
