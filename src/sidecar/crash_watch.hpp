/// @file
/// What runs at the server beside, and whether that server has crashed.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/fiber_event.hpp"
#include "net/http_client.hpp"
#include "poison/crash_ledger.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::sidecar {

/// One request that is on its way to the server, or at it.
struct ServerRun {
    poison::CrashedRun request;
    const net::ExchangeProgress* progress = nullptr;
};

/// Watches one start of a server. Only the daemon beside a server knows what ran there when it ended.
class CrashWatch {
  public:
    CrashWatch(boost::asio::io_context& io, Endpoint address) : io_(io), address_(std::move(address)) {}

    void began(std::uint64_t run, const ServerRun& at_server) { runs_[run] = at_server; }
    void ended(std::uint64_t run) { runs_.erase(run); }

    /// The connection of a run broke before any answer: finds out whether the server is gone. It is if it
    /// refuses connections: one that loses an answer, resets some connections or is cut off doesn't. All runs
    /// whose connections break together wait for one look. Blocks the fiber.
    bool is_server_gone();
    /// What had been sent to the server and not answered. True for the caller that may report it: the first
    /// one after the server was found to be gone.
    bool take_report();
    std::vector<poison::CrashedRun> unanswered() const;

  private:
    struct Look {
        net::FiberEvent ended;
        bool refused = false;
    };

    boost::asio::io_context& io_;
    Endpoint address_;
    std::map<std::uint64_t, ServerRun> runs_;
    std::shared_ptr<Look> look_;
    bool is_gone_ = false;
    bool was_reported_ = false;
};

}  // namespace anisehold::sidecar
