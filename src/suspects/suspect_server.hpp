/** Which server a suspect is sent to, in place of the usual choice (selection/server_selection). Relies on
    rendezvous hashing over the servers that are known. Measured in the model: where servers crash of
    themselves as well, 3.0 crashes at most (3) with it, up to 5 with any server
    (docs/design/suspects.md). Pure. */
#pragma once

#include <string>
#include <vector>

#include "membership/peer_directory.hpp"
#include "protocol/request_digest.hpp"

namespace anisehold::suspects
{

/** The server of the view that ranks first for the suspect by rendezvous hash, of those not in `tried`;
    null if there is none. All daemons choose the same one, so that the gate beside it sees all runs of
    the suspect: only one is made at a time, and a trial after a condemnation is the fleet's only one. */
const membership::KnownServer* chooseForSuspect (const membership::ServiceView&, const RequestDigest&,
                                                 const std::vector<std::string>& tried);

} // namespace anisehold::suspects
