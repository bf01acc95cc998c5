/// @file
/// A simulated application server of the platform: registers by heartbeat, runs requests in its slots, makes
/// calls, and injects the faults of the platform's servers.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "protocol/endpoint.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::lab {

/// A call that a server makes for each request.
struct NestedCall {
    std::string host;
    std::string target;
};

/// A request that arrived at a server.
struct ServerArrival {
    std::string instance;  ///< Instance that the sender expects.
    std::string service;
    std::string id;
    std::string target;
    bool runs = false;       ///< False if the server refused the request and reported so.
    std::string tenant;      ///< Tenant named in the request; empty if none is named.
    bool shows_key = false;  ///< The request carries the caller's key.
};

struct PlatformServerOptions {
    std::string instance;
    std::string service;
    std::string zone;
    Endpoint listen;
    Endpoint registered;  ///< Address in its heartbeats: `listen`, or a forwarder in front of it.
    Endpoint control;     ///< Target of the heartbeats.
    Endpoint outbound;    ///< Target of the server's own calls.
    unsigned slots = 8;
    milliseconds work{5};  ///< A request whose target contains `/work-MS` takes MS milliseconds instead.
    milliseconds heartbeat_interval{200};
    milliseconds fatal_after{40};   ///< Time from the start of a fatal request to the crash.
    milliseconds down_time{2'500};  ///< Downtime after a crash.
    bool keeps_instance = false;    ///< The server restarts with the same instance id.
    std::vector<NestedCall> calls;
};

/// Faults of a server.
struct PlatformServerFaults {
    bool declines = false;           ///< Refuses all requests, and reports that they didn't run.
    double declined_share = 0;       ///< Share of the requests that are refused at random, likewise.
    bool loses_answers = false;      ///< Runs requests, but closes the connection without a response.
    bool forgets_signature = false;  ///< Responds without the server's signature.
    bool answers_another = false;    ///< Responds with the id of another request.
    bool hangs = false;              ///< Accepts requests, but never responds.
    std::string rate_limit;          ///< Rate limit sent verbatim in all responses, unless empty.
    bool refusals_are_bare = false;  ///< Refusals carry no header but that the request didn't run.
    bool says_leaving = false;  ///< All responses announce that the server is leaving; its heartbeats don't.
    /// Duration of work in percent of `work`, stated in all responses; 0: usual, and not stated.
    unsigned slowness_percent = 0;
    /// Crashes the server on each request whose target contains this text; disabled if empty.
    std::string fatal_target;
};

/// Runs one server.
class PlatformServer {
  public:
    PlatformServer(boost::asio::io_context& io, PlatformServerOptions options);
    std::error_code start();

    /// Announces draining; returns true once the announcement is acknowledged.
    bool drain();
    /// Deregisters the server.
    void leave() { deregister(); }
    /// Sends a heartbeat with any body, like another writer; returns the status of the response, or 0.
    unsigned write_entry(const std::string& instance, const std::string& body);
    /// Deregisters the server and continues as another instance at the same address, as if a new server had
    /// been given the address.
    void replace(const std::string& instance);
    /// Simulates a killed process: resets all connections and doesn't listen for `down_time`.
    void crash();
    /// Sets a callback for each crash.
    void observe_crashes(std::function<void()> observer) { crash_observer_ = std::move(observer); }
    bool is_up() const { return is_up_; }
    const std::string& instance() const { return options_.instance; }
    /// Sets a callback for each request, called before the request runs.
    void observe(std::function<void(const ServerArrival&)> observer) { observer_ = std::move(observer); }
    /// Number of runs of each request, by id.
    const std::map<std::string, unsigned>& runs() const { return runs_; }
    /// Callers named in requests, by id of the request.
    const std::map<std::string, std::string>& callers() const { return callers_; }
    /// Tenants named in requests, by id of the request; empty if none was named.
    const std::map<std::string, std::string>& tenants() const { return tenants_; }
    /// Number of requests with their caller's key.
    std::size_t keys_seen() const { return keys_seen_; }
    unsigned most_running() const { return most_running_; }
    std::size_t arrivals() const { return arrivals_; }

    PlatformServerFaults faults;

  private:
    std::unique_ptr<net::HttpServer> make_listener();
    void restart();
    net::HttpResponse handle(net::HttpRequest& request, net::CancelSignal& cancel);
    net::HttpResponse run(const net::HttpRequest& request, const std::string& id, net::CancelSignal& cancel);
    /// Counts the run of a request.
    void count_run(const net::HttpRequest& request, const std::string& id);
    bool declines_at_random();
    bool is_fatal(const std::string& target) const;
    net::HttpResponse answer(unsigned status, const std::string& id, const std::string& body) const;
    net::HttpResponse answer_health() const;
    /// Adds the headers that the server sends in every response.
    void write_notice(net::HttpResponse& response) const;
    /// Text of the load header: requests in flight, waiting, slots, and the slowness if it is stated.
    std::string load_text() const;
    /// Present duration of the work for a request.
    milliseconds work_for(const std::string& target) const;
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
    std::minstd_rand random_;
    std::size_t arrivals_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t calls_made_ = 0;
    std::uint64_t born_ms_ = 0;  ///< Unix time of the start.
    unsigned starts_ = 1;
    bool is_up_ = true;
    bool draining_ = false;
};

}  // namespace anisehold::lab
