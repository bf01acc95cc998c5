#include "suspects/suspect_server.hpp"

#include <algorithm>

#include "routing/rendezvous.hpp"

namespace anisehold::suspects
{

const membership::KnownServer* chooseForSuspect (const membership::ServiceView& view,
                                                 const RequestDigest& digest,
                                                 const std::vector<std::string>& tried)
{
    const auto key = digest.text();
    const membership::KnownServer* best = nullptr;
    std::uint64_t highest = 0;

    for (const auto* servers : { &view.local, &view.remote })
    {
        for (const auto* it : *servers)
        {
            const auto& instance = it->server.instance;

            if (std::find (tried.begin(), tried.end(), instance) != tried.end())
                continue;

            const auto score = routing::rendezvous_score (instance, key);

            if (best == nullptr || score > highest)
            {
                best = it;
                highest = score;
            }
        }
    }

    return best;
}

} // namespace anisehold::suspects
