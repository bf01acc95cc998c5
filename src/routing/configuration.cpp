#include "routing/configuration.hpp"

#include <strings.h>

namespace anisehold::routing {
namespace {

bool same_host(std::string_view left, std::string_view right) {
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace

const HostRoute* Configuration::find(std::string_view host, std::string_view path) const {
    const HostRoute* best = nullptr;
    for (const auto& route : routes) {
        const bool fits = same_host(route.host, host) && path.starts_with(route.path_prefix);
        if (fits && (best == nullptr || route.path_prefix.size() > best->path_prefix.size())) {
            best = &route;
        }
    }
    return best;
}

std::string_view path_of(std::string_view target) {
    return target.substr(0, target.find('?'));
}

}  // namespace anisehold::routing
