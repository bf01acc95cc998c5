/// @file
/// What runs at the server beside, and whether that server has crashed. Relies on the gate's connections to
/// it.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/fiber_event.hpp"
#include "net/http_client.hpp"
#include "protocol/time_types.hpp"
#include "suspects/crash_ledger.hpp"

namespace anisehold::sidecar {

/// One request that is on its way to the server, or at it.
struct ServerRun {
    suspects::CrashedRun request;
    const net::ExchangeProgress* progress = nullptr;
};

/// Watches one start of a server. Only the daemon beside a server knows what ran there when it ended.
class CrashWatch {
  public:
    /// `client` holds the connections to the server.
    CrashWatch(boost::asio::io_context& io, const net::HttpClient& client) : io_(io), client_(client) {}

    void began(std::uint64_t run, const ServerRun& at_server) { runs_[run] = at_server; }
    void ended(std::uint64_t run) { runs_.erase(run); }

    /// The connection of a run broke before any answer: finds out whether the server is gone. It is if it
    /// refuses connections and all idle ones have ended, too: one that loses an answer, resets some
    /// connections, is cut off or has too many of them doesn't. All runs whose connections break together
    /// wait for one look. Blocks the fiber.
    bool is_server_gone();
    /// What had been sent to the server and not answered. True for the caller that may report it: the first
    /// one after the server was found to be gone.
    bool take_report();
    std::vector<suspects::CrashedRun> unanswered() const;

  private:
    struct Look {
        net::FiberEvent ended;
        bool is_gone = false;
    };

    bool look() const;

    boost::asio::io_context& io_;
    const net::HttpClient& client_;
    std::map<std::uint64_t, ServerRun> runs_;
    std::shared_ptr<Look> look_;
    bool is_gone_ = false;
    bool was_reported_ = false;
};

}  // namespace anisehold::sidecar
