/// @file
/// A simulated application server that sends any bytes, for tests of what is taken for a response.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <system_error>

#include "protocol/endpoint.hpp"

namespace boost::asio {
class io_context;
}

namespace anisehold::testing {

/// What the server does with one arrival of a request.
struct Reaction {
    bool runs = false;
    std::string bytes;         ///< Sent at once.
    std::string bytes_soon{};  ///< Sent a few milliseconds later.
    std::string copy{};        ///< Sent before the response to the next request of the connection.
    bool closes_after = false;
    std::string repeated{};  ///< Sent again and again until the peer closes, for ten seconds at most.
};

/// Decides on an arrival of the request `id`, the `n`-th one, from 1. A request without an id, such as a
/// health check, ends its connection.
using Script = std::function<Reaction(const std::string& id, unsigned n)>;

/// Listens until the process ends. Its fibers outlive the object's users, so that it must never be destroyed.
class ScriptedServer {
  public:
    explicit ScriptedServer(boost::asio::io_context& io);
    ~ScriptedServer();
    ScriptedServer(const ScriptedServer&) = delete;
    ScriptedServer& operator=(const ScriptedServer&) = delete;

    /// Binds and starts accepting; returns the system's error.
    std::error_code start(const Endpoint& listen);

    Script script;
    std::map<std::string, unsigned> runs;  ///< By id.

  private:
    struct State;
    std::unique_ptr<State> state_;
};

}  // namespace anisehold::testing
