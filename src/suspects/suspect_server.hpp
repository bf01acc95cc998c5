/** Chooses the server of a suspect, in place of the normal choice (selection/server_selection). Relies on
    rendezvous hashing over the known servers. In the model with servers that also crash by themselves, a
    fatal request caused 3.0 crashes (at most 3) with this choice, and up to 5 with an arbitrary server
    (docs/design/suspects.md). Pure. */
#pragma once

#include <string>
#include <vector>

#include "membership/peer_directory.hpp"
#include "protocol/request_digest.hpp"

namespace anisehold::suspects
{

/** Returns the server of the view that ranks first for the suspect by rendezvous hash, without those in
    `tried`; null if there is none. All daemons choose the same server, so its gate sees all runs of the
    suspect: only one runs at a time, and a trial after a condemnation is the only one in the fleet. */
const membership::KnownServer* chooseForSuspect (const membership::ServiceView&, const RequestDigest&,
                                                 const std::vector<std::string>& tried);

} // namespace anisehold::suspects
