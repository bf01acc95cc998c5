/// @file
/// Slot reservations at the gate of the local server: connects the decisions of reservation/grant_table with
/// the waiting fibers. Owns the fiber that ends expired reservations.
#pragma once

#include <cstdint>
#include <optional>
#include <random>

#include "observability/metrics.hpp"
#include "sidecar/gate_server.hpp"

namespace anisehold::sidecar {

/// A message that asks for a slot or renews a place in the queue.
struct ReservationMessage {
    const hop::HopRequest& call;
    std::uint64_t run = 0;  ///< Unique in this process; used if the message asks for a slot.
    net::CancelSignal* cancel = nullptr;
    std::mt19937_64& random;
    observability::Metrics& metrics;
    bool orders_by_root = false;  ///< Whether the queue is ordered by the clients' requests behind the calls.
};

/// Returns `kGranted`, `kWaiting` after at most `reservation::maxReplyDelay`, or a refusal. A reservation
/// whose caller disconnects is withdrawn. Blocks the fiber.
GateAnswer reserve_slot(GateServer& server, const ReservationMessage& message);

/// Takes the slot of the request's grant; a request that finds no free slot precedes all waiting ones.
/// Returns the refusal, if any: `kQueueTimeout` if the grant has ended or no slot became free. Blocks the
/// fiber.
std::optional<GateAnswer> take_granted_slot(GateServer& server, const GateRun& run);

/// Ends a grant or a place in the queue; no effect if there is none with this number.
void withdraw_reservation(GateServer& server, std::uint64_t number);

}  // namespace anisehold::sidecar
