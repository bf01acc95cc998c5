/// @file
/// The daemon's metrics, in Prometheus' text format. Owns their names, help texts and values; docs/METRICS.md
/// lists the same. Every label value that is counted stays for the life of the process.
#pragma once

#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "protocol/error_kind.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::observability {

/// One metric as it is documented.
struct MetricEntry {
    std::string_view name;
    std::string_view type;
    std::string_view help;
};

/// All metrics there are.
std::span<const MetricEntry> metric_catalogue();

/// Present values of one server's gate, in requests.
struct GateMetrics {
    unsigned in_flight = 0;
    unsigned queued = 0;
    unsigned limit = 0;
};

/// Counts what the daemon does.
class Metrics {
  public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    /// A call at the ingress ended with a back end's answer, so long after its arrival.
    void count_answer(const std::string& row, unsigned status, Duration taken);
    /// A call at the ingress ended with an error kind of ours.
    void count_error(const std::string& row, ErrorKind kind);
    void count_retry(const std::string& row);
    void count_dispatch(const std::string& service);
    void count_claim(std::string_view result);
    void count_gossip_bytes(std::size_t sent, std::size_t received);
    void set_gate(const std::string& server, const GateMetrics& gate);
    void set_members(std::string_view state, std::size_t count);
    /// The rate that the server of this service takes, in requests a second; infinity if it names none.
    void set_server_rate(const std::string& service, double per_second);
    void count_rate_refusal(const std::string& service);
    void count_server_crash(const std::string& service);
    void set_suspects(std::string_view state, std::size_t count);
    void set_table_revision(std::uint64_t revision);

    /// The text that a scraper gets.
    std::string text() const;

  private:
    struct Families;
    std::unique_ptr<Families> families_;
};

}  // namespace anisehold::observability
