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

namespace {

std::vector<const lab::KindSpec*> kinds_by_importance(const lab::Deployment& deployment) {
    std::vector<const lab::KindSpec*> kinds;
    for (const auto& kind : deployment.kinds) {
        kinds.push_back(&kind);
    }
    std::stable_sort(kinds.begin(), kinds.end(),
                     [](const auto* left, const auto* right) { return left->priority < right->priority; });
    return kinds;
}

/// Takes the room for up to `wanted` requests; returns for how many there was room.
double serve(const SlotDemand& demand, double wanted, SlotDemand& room) {
    double count = wanted;
    for (const auto& [service, slots] : demand) {
        count = slots > 0 ? std::min(count, room[service] / slots) : count;
    }
    for (const auto& [service, slots] : demand) {
        room[service] -= count * slots;
    }
    return count;
}

}  // namespace

std::vector<std::map<std::string, double>> ideal_completions(const lab::Deployment& deployment,
                                                             const std::vector<IdealInterval>& intervals,
                                                             double interval_seconds, std::size_t patience) {
    std::vector<std::map<std::string, double>> waiting;
    std::vector<std::map<std::string, double>> completed(intervals.size());
    for (std::size_t now = 0; now < intervals.size(); ++now) {
        waiting.push_back(intervals[now].offered);
        SlotDemand room;
        for (const auto& service : deployment.services) {
            room[service.name] = static_cast<double>(service.servers) * service.slots * interval_seconds;
        }
        for (const auto* kind : kinds_by_importance(deployment)) {
            const auto demand = slot_demand(deployment, *kind, intervals[now].slow);
            for (std::size_t arrival = now > patience ? now - patience : 0; arrival <= now; ++arrival) {
                const double served = serve(demand, waiting[arrival][kind->name], room);
                waiting[arrival][kind->name] -= served;
                completed[arrival][kind->name] += served;
            }
        }
    }
    return completed;
}

}  // namespace anisehold::bench
