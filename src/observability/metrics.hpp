/// @file
/// The daemon's metrics in the Prometheus text format. Owns their names, help texts and values;
/// docs/METRICS.md lists the same metrics. Every label value is kept for the lifetime of the process.
#pragma once

#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "protocol/error_kind.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::observability {

/// Catalogue entry of a metric.
struct MetricEntry {
    std::string_view name;
    std::string_view type;
    std::string_view help;
};

/// The catalogue of all metrics.
std::span<const MetricEntry> metric_catalogue();

/// Current values of one server's gate, in requests.
struct GateMetrics {
    unsigned in_flight = 0;
    unsigned queued = 0;
    unsigned limit = 0;
};

/// Forecast of one service, in ms of slot time per second.
struct ForecastMetrics {
    double capacity = 0;
    double demand = 0;
    double share = 1;  ///< Admitted share of the demand.
};

/// The daemon's metrics.
class Metrics {
  public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    /// Counts a call at the ingress that ended with a back end's response, `elapsed` after its arrival.
    void count_answer(const std::string& row, unsigned status, Duration elapsed);
    /// Counts a call at the ingress that ended with one of the daemon's error kinds.
    void count_error(const std::string& row, ErrorKind kind);
    void count_retry(const std::string& row);
    void count_dispatch(const std::string& service);
    void count_claim(std::string_view result);
    void count_gossip_bytes(std::size_t sent, std::size_t received);
    void set_gate(const std::string& server, const GateMetrics& gate);
    void set_members(std::string_view state, std::size_t count);
    /// Counts a call of the local server; `is_known`: whether its parent was found.
    void count_attributed_call(bool is_known);
    /// Counts a request that was certainly refused before. Does not count those refused for other reasons
    /// than a lack of capacity.
    void count_returning(bool is_admitted);
    /// Sets the rate limit of the service's server in requests per second; infinity if the server reports
    /// none.
    void set_server_rate(const std::string& service, double per_second);
    void count_rate_refusal(const std::string& service);
    /// Counts a response in place of another one. `connection`: "same" if its request was sent over the same
    /// connection, else "other".
    void count_surplus_response(const std::string& service, std::string_view connection);
    /// Counts an ended reservation: "granted", "refused", "timed-out", "withdrawn" or "expired".
    void count_reservation(std::string_view result);
    void count_server_crash(const std::string& service);
    void set_suspects(std::string_view state, std::size_t count);
    void set_forecast(const std::string& service, const ForecastMetrics& forecast);
    /// Sets the present duration of work at a server as a multiple of the usual one.
    void set_server_slowness(const std::string& server, double slowness);
    /// Counts a client's request refused for the excess of its zone or tenant (`group`).
    void count_excess_refusal(std::string_view group);
    /// Counts a connection without a request in progress that was closed to make room for another.
    void count_connection_given_up();
    void set_table_revision(std::uint64_t revision);
    /// Counts a retry that the gate granted or refused; `rank`: the priority by which it decided.
    void count_gate_retry(const std::string& service, unsigned rank, bool granted);
    /// Sets the share of arrivals that the service's server declines whatever its load.
    void set_declined_share(const std::string& service, double share);

    /// The metrics in the text format for scraping.
    std::string text() const;

  private:
    struct Families;
    std::unique_ptr<Families> families_;
};

}  // namespace anisehold::observability
