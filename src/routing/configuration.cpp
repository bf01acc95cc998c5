#include "routing/configuration.hpp"

#include <algorithm>
#include <cctype>

namespace anisehold::routing {
namespace {

/// Hosts compare case-insensitively; neither part contains a line feed.
std::string index_key(std::string_view host, std::string_view prefix) {
    std::string key(host);
    std::transform(key.begin(), key.end(), key.begin(),
                   [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    key += '\n';
    key += prefix;
    return key;
}

}  // namespace

void Configuration::index_routes() {
    index_.clear();
    for (std::size_t position = 0; position < routes.size(); ++position) {
        // Of two routes with the same host and prefix, the first one applies.
        index_.emplace(index_key(routes[position].host, routes[position].path_prefix), position);
    }
}

const HostRoute* Configuration::find(std::string_view host, std::string_view path) const {
    auto key = index_key(host, path);
    // Prefixes end with a slash; tries the longest one first.
    for (auto end = key.rfind('/'); end != std::string::npos && end > host.size();) {
        key.resize(end + 1);
        const auto found = index_.find(key);
        if (found != index_.end()) {
            return &routes[found->second];
        }
        end = key.rfind('/', end - 1);
    }
    return nullptr;
}

std::string_view path_of(std::string_view target) {
    return target.substr(0, target.find('?'));
}

}  // namespace anisehold::routing
