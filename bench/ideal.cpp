#include "bench/ideal.hpp"

#include <algorithm>
#include <vector>

namespace anisehold::bench {
namespace {

/// How long a call of this kind holds its slot.
double hold_seconds(const lab::Deployment& deployment, const lab::KindSpec& kind, const SlowFactors& slow) {
    const auto factor = slow.find(kind.service);
    double held =
        std::chrono::duration<double>(kind.work_ms).count() * (factor == slow.end() ? 1.0 : factor->second);
    for (const auto& called : kind.calls) {
        held += hold_seconds(deployment, *deployment.kind(called), slow);
    }
    return held;
}

void add_demand(const lab::Deployment& deployment, const lab::KindSpec& kind, const SlowFactors& slow,
                SlotDemand& demand) {
    demand[kind.service] += hold_seconds(deployment, kind, slow);
    for (const auto& called : kind.calls) {
        add_demand(deployment, *deployment.kind(called), slow, demand);
    }
}

}  // namespace

SlotDemand slot_demand(const lab::Deployment& deployment, const lab::KindSpec& kind,
                       const SlowFactors& slow) {
    SlotDemand demand;
    add_demand(deployment, kind, slow, demand);
    return demand;
}

double capacity_per_second(const lab::Deployment& deployment) {
    SlotDemand mix;
    double shares = 0;
    for (const auto& kind : deployment.kinds) {
        shares += kind.share;
        for (const auto& [service, slots] : slot_demand(deployment, kind, {})) {
            mix[service] += kind.share * slots;
        }
    }
    double capacity = 1e9;
    for (const auto& service : deployment.services) {
        const double slots = static_cast<double>(service.servers) * service.slots;
        if (mix[service.name] > 0) {
            capacity = std::min(capacity, shares * slots / mix[service.name]);
        }
    }
    return capacity;
}

std::map<std::string, double> ideal_completions(const lab::Deployment& deployment,
                                                const std::map<std::string, double>& offered, double seconds,
                                                const SlowFactors& slow) {
    std::map<std::string, double> room;
    for (const auto& service : deployment.services) {
        room[service.name] = static_cast<double>(service.servers) * service.slots * seconds;
    }
    std::vector<const lab::KindSpec*> kinds;
    for (const auto& kind : deployment.kinds) {
        kinds.push_back(&kind);
    }
    std::stable_sort(kinds.begin(), kinds.end(),
                     [](const auto* left, const auto* right) { return left->priority < right->priority; });
    std::map<std::string, double> completed;
    for (const auto* kind : kinds) {
        const auto wanted = offered.find(kind->name);
        double count = wanted == offered.end() ? 0.0 : wanted->second;
        const auto demand = slot_demand(deployment, *kind, slow);
        for (const auto& [service, slots] : demand) {
            count = slots > 0 ? std::min(count, room[service] / slots) : count;
        }
        completed[kind->name] = count;
        for (const auto& [service, slots] : demand) {
            room[service] -= count * slots;
        }
    }
    return completed;
}

}  // namespace anisehold::bench
