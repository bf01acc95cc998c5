/// @file
/// Tracks the requests at the local server, and detects whether the server has crashed. Relies on the gate's
/// connections to the server.
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

/// One request that is being sent to the server or is running there.
struct ServerRun {
    suspects::CrashedRun request;
    const net::ExchangeProgress* progress = nullptr;
};

/// Watches one start of a server. Only the local daemon knows which requests were running when the server
/// crashed.
class CrashWatch {
  public:
    /// `client` owns the connections to the server.
    CrashWatch(boost::asio::io_context& io, const net::HttpClient& client) : io_(io), client_(client) {}

    void began(std::uint64_t run, const ServerRun& at_server) { runs_[run] = at_server; }
    void ended(std::uint64_t run) { runs_.erase(run); }

    /// Called when the connection of a run broke before any response: checks whether the server is gone, i.e.
    /// refuses connections and has closed all idle ones. A server that loses a response, resets some
    /// connections, is cut off, or has too many connections doesn't meet both conditions. All runs whose
    /// connections break together share one check. Blocks the fiber.
    bool is_server_gone();
    /// Returns true for the caller that may report the crash: the first one after the server was found to be
    /// gone.
    bool acquire_report();
    /// Returns the runs that were sent to the server and not answered.
    std::vector<suspects::CrashedRun> unanswered() const;

  private:
    struct Check {
        net::FiberEvent ended;
        bool is_gone = false;
    };

    bool check_gone() const;

    boost::asio::io_context& io_;
    const net::HttpClient& client_;
    std::map<std::uint64_t, ServerRun> runs_;
    std::shared_ptr<Check> check_;
    bool is_gone_ = false;
    bool was_reported_ = false;
};

}  // namespace anisehold::sidecar
