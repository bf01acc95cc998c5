#include "selection/return_trial.hpp"

#include <algorithm>

namespace anisehold::selection
{
namespace
{

using membership::KnownServer;

const KnownServer* findIn (const std::vector<const KnownServer*>& servers, const std::string& instance)
{
    const auto it =
        std::find_if (servers.begin(), servers.end(),
                      [&] (const KnownServer* known) { return known->server.instance == instance; });
    return it == servers.end() ? nullptr : *it;
}

} // namespace

void recordTrialResult (ReturnTrials& trials, TimePoint now, const std::string& instance, bool failed)
{
    if (failed)
        trials[instance] = now + trialInterval;
    else
        trials.erase (instance);
}

const KnownServer* startDueTrial (ReturnTrials& trials, TimePoint now, const membership::ServiceView& view)
{
    std::erase_if (trials, [&] (const auto& entry) { return now - entry.second >= trialExpiry; });

    for (auto& [instance, due] : trials)
    {
        if (now < due)
            continue;

        const auto* local = findIn (view.local, instance);
        const auto* server = local != nullptr ? local : findIn (view.remote, instance);

        if (server == nullptr)
            continue;

        due = now + trialInterval;
        return server;
    }

    return nullptr;
}

} // namespace anisehold::selection
