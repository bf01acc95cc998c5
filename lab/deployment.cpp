#include "lab/deployment.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <iostream>

namespace anisehold::lab {
namespace {

std::vector<std::string> texts(const toml::node_view<toml::node>& node) {
    std::vector<std::string> values;
    if (const auto* array = node.as_array()) {
        for (const auto& element : *array) {
            values.push_back(element.value_or(std::string()));
        }
    }
    return values;
}

ServiceSpec read_service(toml::table& table) {
    ServiceSpec service;
    service.name = table["name"].value_or(std::string());
    service.servers = static_cast<unsigned>(table["servers"].value_or<int64_t>(service.servers));
    service.slots = static_cast<unsigned>(table["slots"].value_or<int64_t>(service.slots));
    service.connections = static_cast<unsigned>(table["connections"].value_or<int64_t>(service.connections));
    return service;
}

KindSpec read_kind(toml::table& table) {
    KindSpec kind;
    kind.name = table["name"].value_or(std::string());
    kind.service = table["service"].value_or(std::string());
    kind.method = table["method"].value_or(kind.method);
    kind.path = table["path"].value_or(std::string());
    kind.work_ms = milliseconds(table["work_ms"].value_or<int64_t>(kind.work_ms.count()));
    kind.answer_bytes = static_cast<std::size_t>(
        table["answer_bytes"].value_or<int64_t>(static_cast<int64_t>(kind.answer_bytes)));
    kind.share = table["share"].value_or(kind.share);
    kind.keyed = table["keyed"].value_or(kind.keyed);
    kind.calls = texts(table["calls"]);
    return kind;
}

template <typename Spec, typename Read>
void read_all(toml::table& root, const char* name, std::vector<Spec>& specs, Read read) {
    if (auto* array = root[name].as_array()) {
        for (auto& element : *array) {
            if (auto* table = element.as_table()) {
                specs.push_back(read(*table));
            }
        }
    }
}

std::string first_problem(const Deployment& deployment) {
    if (deployment.zones.empty() || deployment.services.empty() || deployment.kinds.empty()) {
        return "zones, services and kinds are needed";
    }
    for (const auto& kind : deployment.kinds) {
        if (deployment.service(kind.service) == nullptr) {
            return "kind " + kind.name + ": service " + kind.service + " does not exist";
        }
        for (const auto& called : kind.calls) {
            if (deployment.kind(called) == nullptr) {
                return "kind " + kind.name + ": called kind " + called + " does not exist";
            }
        }
    }
    return {};
}

}  // namespace

const ServiceSpec* Deployment::service(const std::string& wanted) const {
    const auto found = std::find_if(services.begin(), services.end(),
                                    [&](const ServiceSpec& spec) { return spec.name == wanted; });
    return found == services.end() ? nullptr : &*found;
}

const KindSpec* Deployment::kind(const std::string& wanted) const {
    const auto found =
        std::find_if(kinds.begin(), kinds.end(), [&](const KindSpec& spec) { return spec.name == wanted; });
    return found == kinds.end() ? nullptr : &*found;
}

const KindSpec* Deployment::kind_of(const std::string& service, const std::string& method,
                                    const std::string& target) const {
    const KindSpec* best = nullptr;
    for (const auto& spec : kinds) {
        const bool fits = spec.service == service && spec.method == method && target.starts_with(spec.path);
        if (fits && (best == nullptr || spec.path.size() > best->path.size())) {
            best = &spec;
        }
    }
    return best;
}

std::optional<Deployment> load_deployment(const std::string& file_name) {
    Deployment deployment;
    try {
        toml::table root = toml::parse_file(file_name);
        deployment.name = root["name"].value_or(std::string());
        deployment.zones = texts(root["zones"]);
        deployment.client_delay_ms = milliseconds(root["client_delay_ms"].value_or<int64_t>(1));
        deployment.table_csv = root["table"].value_or(std::string());
        read_all(root, "services", deployment.services, read_service);
        read_all(root, "kinds", deployment.kinds, read_kind);
    } catch (const toml::parse_error& error) {
        std::cerr << file_name << ":" << error.source().begin.line << ": " << error.description() << "\n";
        return std::nullopt;
    }
    const auto problem = first_problem(deployment);
    if (!problem.empty()) {
        std::cerr << file_name << ": " << problem << "\n";
        return std::nullopt;
    }
    return deployment;
}

}  // namespace anisehold::lab
