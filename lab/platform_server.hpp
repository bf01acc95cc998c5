/// @file
/// A stand-in for an application server on the platform: registers by heartbeat, runs requests in its slots,
/// makes calls of its own, and fails in the ways that the platform's servers do.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "protocol/endpoint.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::lab {

/// A call that a server makes for each request that it runs.
struct NestedCall {
    std::string host;
    std::string target;
};

/// A request that came to a server.
struct ServerArrival {
    std::string instance;  ///< The one that the sender expects.
    std::string service;
    std::string id;
    std::string target;
    bool runs = false;       ///< Otherwise the server declined it and said so.
    std::string tenant;      ///< The one that the request names; empty if it names none.
    bool shows_key = false;  ///< The caller's key came along.
};

struct PlatformServerOptions {
    std::string instance;
    std::string service;
    std::string zone;
    Endpoint listen;
    Endpoint registered;  ///< What its heartbeats name: `listen`, or a forwarder before it.
    Endpoint control;     ///< Where heartbeats go.
    Endpoint outbound;    ///< Where its own calls go.
    unsigned slots = 8;
    milliseconds work{5};
    milliseconds heartbeat_interval{200};
    milliseconds fatal_after{40};   ///< How long a fatal request runs before the server ends.
    milliseconds down_time{2'500};  ///< How long it is gone after a crash.
    bool keeps_instance = false;    ///< Whether it comes back under the id that it had.
    std::vector<NestedCall> calls;
};

/// What goes wrong at a server.
struct PlatformServerFaults {
    bool declines = false;           ///< Runs nothing and says so.
    bool loses_answers = false;      ///< Runs requests and closes the connection.
    bool forgets_signature = false;  ///< Answers without its signature.
    bool answers_another = false;    ///< Answers with another request's id.
    bool hangs = false;              ///< Takes requests and answers nothing.
    std::string rate_limit;          ///< Named as it stands in all answers, unless it is empty.
    bool refusals_are_bare = false;  ///< Refusals say nothing of the server beyond that they ran nothing.
    bool says_leaving = false;       ///< All answers say that it leaves; its heartbeats don't.
    /// A request whose target holds this text ends the server that begins it; none does if it is empty.
    std::string fatal_target;
};

/// Serves one server.
class PlatformServer {
  public:
    PlatformServer(boost::asio::io_context& io, PlatformServerOptions options);
    std::error_code start();

    /// Says that it is draining; true once that is acknowledged.
    bool drain();
    /// Says that it leaves.
    void leave() { deregister(); }
    /// Sends a heartbeat's call with any body, as another writer might; the status of the answer, or 0.
    unsigned write_entry(const std::string& instance, const std::string& body);
    /// Goes over to another instance at the same address, as if a new server had been given it: the old one
    /// says that it left first.
    void replace(const std::string& instance);
    /// Ends as a process does that is killed: all connections are reset and nobody listens, for `down_time`.
    void crash();
    /// The observer sees each crash.
    void observe_crashes(std::function<void()> observer) { crash_observer_ = std::move(observer); }
    bool is_up() const { return is_up_; }
    const std::string& instance() const { return options_.instance; }
    /// The observer sees each request, before it is run.
    void observe(std::function<void(const ServerArrival&)> observer) { observer_ = std::move(observer); }
    /// Requests that ran, by id.
    const std::map<std::string, unsigned>& runs() const { return runs_; }
    /// The callers that requests named, by id of the request.
    const std::map<std::string, std::string>& callers() const { return callers_; }
    /// The tenants that requests named, by id of the request; empty where none was.
    const std::map<std::string, std::string>& tenants() const { return tenants_; }
    /// Requests that came with their caller's key.
    std::size_t keys_seen() const { return keys_seen_; }
    unsigned most_running() const { return most_running_; }
    std::size_t arrivals() const { return arrivals_; }

    PlatformServerFaults faults;

  private:
    std::unique_ptr<net::HttpServer> make_listener();
    void come_back();
    net::HttpResponse handle(net::HttpRequest& request, net::CancelSignal& cancel);
    net::HttpResponse run(const net::HttpRequest& request, const std::string& id, net::CancelSignal& cancel);
    /// Counts that a request runs.
    void count_run(const net::HttpRequest& request, const std::string& id);
    bool is_fatal(const std::string& target) const;
    net::HttpResponse answer(unsigned status, const std::string& id, const std::string& body) const;
    net::HttpResponse answer_health() const;
    /// Adds what the server says of itself in every answer.
    void write_notice(net::HttpResponse& response) const;
    bool make_calls(const std::string& id, TimePoint deadline);
    bool send_heartbeat(bool draining);
    void deregister();
    void send_heartbeats();

    PlatformServerOptions options_;
    std::function<void(const ServerArrival&)> observer_;
    std::function<void()> crash_observer_;
    boost::asio::io_context& io_;
    std::unique_ptr<net::HttpServer> server_;
    std::vector<std::unique_ptr<net::HttpServer>> ended_servers_;  ///< Fibers may still refer to them.
    net::HttpClient control_;
    net::HttpClient outbound_;
    std::map<std::string, unsigned> runs_;
    std::map<std::string, std::string> callers_;
    std::map<std::string, std::string> tenants_;
    std::size_t keys_seen_ = 0;
    unsigned running_ = 0;
    unsigned most_running_ = 0;
    std::size_t arrivals_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t calls_made_ = 0;
    std::uint64_t born_ms_ = 0;  ///< Unix time of the start.
    unsigned starts_ = 1;
    bool is_up_ = true;
    bool draining_ = false;
};

}  // namespace anisehold::lab
