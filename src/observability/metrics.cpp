#include "observability/metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <array>

namespace anisehold::observability {
namespace {

constexpr std::array kCatalogue{
    MetricEntry{"anisehold_answers_total", "counter",
                "Calls answered by a back end, by table row and status class."},
    MetricEntry{"anisehold_errors_total", "counter",
                "Calls answered by this daemon, by table row and error kind."},
    MetricEntry{"anisehold_call_seconds", "histogram",
                "Time from a call's arrival to its answer's header, by table row."},
    MetricEntry{"anisehold_retries_total", "counter", "Attempts after the first, by table row."},
    MetricEntry{"anisehold_dispatches_total", "counter",
                "Calls sent to a server by this daemon's gates, by service."},
    MetricEntry{"anisehold_claims_total", "counter", "Claims made for non-repeatable requests, by result."},
    MetricEntry{"anisehold_gossip_bytes_total", "counter", "Bytes of gossip datagrams, by direction."},
    MetricEntry{"anisehold_gate_in_flight", "gauge", "Calls in flight at a server, by server."},
    MetricEntry{"anisehold_gate_queued", "gauge", "Calls waiting for a server, by server."},
    MetricEntry{"anisehold_gate_limit", "gauge", "Learned concurrency limit, by server."},
    MetricEntry{"anisehold_members", "gauge", "Known members, by state."},
    MetricEntry{"anisehold_table_revision", "gauge", "Store revision of the table in force."},
    MetricEntry{"anisehold_server_crashes_total", "counter",
                "Crashes of the server beside this daemon while requests ran there, by service."},
    MetricEntry{"anisehold_suspects", "gauge",
                "Requests that ran at servers when these crashed, by state: condemned or suspected."},
    MetricEntry{
        "anisehold_server_rate_limit", "gauge",
        "Requests a second that the server beside this daemon says it takes, by service; +Inf without a "
        "limit."},
    MetricEntry{"anisehold_rate_refusals_total", "counter",
                "Requests refused because a server takes only so many a second, by service."},
    MetricEntry{"anisehold_reservations_total", "counter",
                "Slot reservations, by result: granted, refused or timed-out as seen by the caller's daemon; "
                "withdrawn or expired as seen by the gate."},
    MetricEntry{"anisehold_gate_retries_total", "counter",
                "Retries that reached the gate of a server, by service, rank and result."},
    MetricEntry{
        "anisehold_declined_share", "gauge",
        "Share of arrivals that the server beside this daemon declines whatever its load, by service."},
    MetricEntry{"anisehold_attributed_calls_total", "counter",
                "Calls of the server beside this daemon, by whether their parent was found: matched or "
                "unmatched."},
    MetricEntry{"anisehold_returning_requests_total", "counter",
                "Requests that were certainly refused before and came while capacity was short, by result: "
                "admitted or refused."},
    MetricEntry{"anisehold_forecast_capacity", "gauge",
                "Forecast capacity of a service, in ms of slot time per second; 0 without a forecast."},
    MetricEntry{"anisehold_forecast_demand", "gauge",
                "Work that clients offer to a service, in ms of slot time per second."},
    MetricEntry{"anisehold_forecast_share", "gauge",
                "Share of the work offered to a service that the forecast admits, from 0 to 1."},
    MetricEntry{
        "anisehold_server_slowness", "gauge",
        "Present duration of work at the server beside this daemon, as a multiple of the usual one, by "
        "server."},
    MetricEntry{
        "anisehold_excess_refusals_total", "counter",
        "Requests refused early whose zone or tenant exceeds its usual demand and is admitted less than its "
        "row, by group: zone or tenant."},
    MetricEntry{"anisehold_surplus_responses_total", "counter",
                "Responses of the server beside this daemon that came where another request's was due, by "
                "service and by the connection that carried their own request: same or other."},
    MetricEntry{"anisehold_connections_given_up_total", "counter",
                "Connections without a request in progress that were closed to make room for others."},
};

std::string help_of(std::string_view name) {
    const auto* found = std::find_if(kCatalogue.begin(), kCatalogue.end(),
                                     [&](const MetricEntry& entry) { return entry.name == name; });
    return std::string(found->help);
}

/// Upper bounds in seconds.
prometheus::Histogram::BucketBoundaries latency_buckets() {
    return {0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5};
}

std::string status_class(unsigned status) {
    return std::to_string(status / 100) + "xx";
}

}  // namespace

struct Metrics::Families {
    prometheus::Registry registry;

    prometheus::Family<prometheus::Counter>& counter(std::string_view name) {
        return prometheus::BuildCounter().Name(std::string(name)).Help(help_of(name)).Register(registry);
    }
    prometheus::Family<prometheus::Gauge>& gauge(std::string_view name) {
        return prometheus::BuildGauge().Name(std::string(name)).Help(help_of(name)).Register(registry);
    }

    prometheus::Family<prometheus::Counter>& answers = counter("anisehold_answers_total");
    prometheus::Family<prometheus::Counter>& errors = counter("anisehold_errors_total");
    prometheus::Family<prometheus::Histogram>& call_seconds = prometheus::BuildHistogram()
                                                                  .Name("anisehold_call_seconds")
                                                                  .Help(help_of("anisehold_call_seconds"))
                                                                  .Register(registry);
    prometheus::Family<prometheus::Counter>& retries = counter("anisehold_retries_total");
    prometheus::Family<prometheus::Counter>& dispatches = counter("anisehold_dispatches_total");
    prometheus::Family<prometheus::Counter>& claims = counter("anisehold_claims_total");
    prometheus::Family<prometheus::Counter>& gossip_bytes = counter("anisehold_gossip_bytes_total");
    prometheus::Family<prometheus::Gauge>& gate_in_flight = gauge("anisehold_gate_in_flight");
    prometheus::Family<prometheus::Gauge>& gate_queued = gauge("anisehold_gate_queued");
    prometheus::Family<prometheus::Gauge>& gate_limit = gauge("anisehold_gate_limit");
    prometheus::Family<prometheus::Gauge>& members = gauge("anisehold_members");
    prometheus::Gauge& table_revision = gauge("anisehold_table_revision").Add({});
    prometheus::Family<prometheus::Counter>& server_crashes = counter("anisehold_server_crashes_total");
    prometheus::Family<prometheus::Gauge>& suspects = gauge("anisehold_suspects");
    prometheus::Family<prometheus::Gauge>& server_rates = gauge("anisehold_server_rate_limit");
    prometheus::Family<prometheus::Gauge>& forecast_capacity = gauge("anisehold_forecast_capacity");
    prometheus::Family<prometheus::Gauge>& forecast_demand = gauge("anisehold_forecast_demand");
    prometheus::Family<prometheus::Gauge>& forecast_share = gauge("anisehold_forecast_share");
    prometheus::Family<prometheus::Counter>& rate_refusals = counter("anisehold_rate_refusals_total");
    prometheus::Family<prometheus::Counter>& reservations = counter("anisehold_reservations_total");
    prometheus::Family<prometheus::Counter>& gate_retries = counter("anisehold_gate_retries_total");
    prometheus::Family<prometheus::Gauge>& declined_shares = gauge("anisehold_declined_share");
    prometheus::Family<prometheus::Counter>& attributed_calls = counter("anisehold_attributed_calls_total");
    prometheus::Family<prometheus::Counter>& returning = counter("anisehold_returning_requests_total");
    prometheus::Family<prometheus::Gauge>& server_slowness = gauge("anisehold_server_slowness");
    prometheus::Family<prometheus::Counter>& connections_given_up =
        counter("anisehold_connections_given_up_total");
    prometheus::Family<prometheus::Counter>& excess_refusals = counter("anisehold_excess_refusals_total");
    prometheus::Family<prometheus::Counter>& surplus_responses = counter("anisehold_surplus_responses_total");
};

std::span<const MetricEntry> metric_catalogue() {
    return kCatalogue;
}

Metrics::Metrics() : families_(std::make_unique<Families>()) {}

Metrics::~Metrics() = default;

void Metrics::count_answer(const std::string& row, unsigned status, Duration elapsed) {
    families_->answers.Add({{"row", row}, {"status", status_class(status)}}).Increment();
    const double taken_seconds = std::chrono::duration<double>(elapsed).count();
    families_->call_seconds.Add({{"row", row}}, latency_buckets()).Observe(taken_seconds);
}

void Metrics::count_error(const std::string& row, ErrorKind kind) {
    families_->errors.Add({{"row", row}, {"kind", std::string(answer_for(kind).name)}}).Increment();
}

void Metrics::count_retry(const std::string& row) {
    families_->retries.Add({{"row", row}}).Increment();
}

void Metrics::count_dispatch(const std::string& service) {
    families_->dispatches.Add({{"service", service}}).Increment();
}

void Metrics::count_claim(std::string_view result) {
    families_->claims.Add({{"result", std::string(result)}}).Increment();
}

void Metrics::count_gossip_bytes(std::size_t sent, std::size_t received) {
    families_->gossip_bytes.Add({{"direction", "sent"}}).Increment(static_cast<double>(sent));
    families_->gossip_bytes.Add({{"direction", "received"}}).Increment(static_cast<double>(received));
}

void Metrics::set_gate(const std::string& server, const GateMetrics& gate) {
    families_->gate_in_flight.Add({{"server", server}}).Set(gate.in_flight);
    families_->gate_queued.Add({{"server", server}}).Set(gate.queued);
    families_->gate_limit.Add({{"server", server}}).Set(gate.limit);
}

void Metrics::set_members(std::string_view state, std::size_t count) {
    families_->members.Add({{"state", std::string(state)}}).Set(static_cast<double>(count));
}

void Metrics::count_server_crash(const std::string& service) {
    families_->server_crashes.Add({{"service", service}}).Increment();
}

void Metrics::set_server_rate(const std::string& service, double per_second) {
    families_->server_rates.Add({{"service", service}}).Set(per_second);
}

void Metrics::count_rate_refusal(const std::string& service) {
    families_->rate_refusals.Add({{"service", service}}).Increment();
}

void Metrics::count_surplus_response(const std::string& service, std::string_view connection) {
    families_->surplus_responses.Add({{"service", service}, {"connection", std::string(connection)}})
        .Increment();
}

void Metrics::count_reservation(std::string_view result) {
    families_->reservations.Add({{"result", std::string(result)}}).Increment();
}

void Metrics::count_attributed_call(bool is_known) {
    families_->attributed_calls.Add({{"result", is_known ? "matched" : "unmatched"}}).Increment();
}

void Metrics::count_returning(bool is_admitted) {
    families_->returning.Add({{"result", is_admitted ? "admitted" : "refused"}}).Increment();
}

void Metrics::set_server_slowness(const std::string& server, double slowness) {
    families_->server_slowness.Add({{"server", server}}).Set(slowness);
}

void Metrics::count_excess_refusal(std::string_view group) {
    families_->excess_refusals.Add({{"group", std::string(group)}}).Increment();
}

void Metrics::count_connection_given_up() {
    families_->connections_given_up.Add({}).Increment();
}

void Metrics::set_suspects(std::string_view state, std::size_t count) {
    families_->suspects.Add({{"state", std::string(state)}}).Set(static_cast<double>(count));
}

void Metrics::set_forecast(const std::string& service, const ForecastMetrics& forecast) {
    families_->forecast_capacity.Add({{"service", service}}).Set(forecast.capacity);
    families_->forecast_demand.Add({{"service", service}}).Set(forecast.demand);
    families_->forecast_share.Add({{"service", service}}).Set(forecast.share);
}

void Metrics::set_table_revision(std::uint64_t revision) {
    families_->table_revision.Set(static_cast<double>(revision));
}

void Metrics::count_gate_retry(const std::string& service, unsigned rank, bool granted) {
    families_->gate_retries
        .Add({{"service", service},
              {"rank", std::to_string(rank)},
              {"result", granted ? "granted" : "refused"}})
        .Increment();
}

void Metrics::set_declined_share(const std::string& service, double share) {
    families_->declined_shares.Add({{"service", service}}).Set(share);
}

std::string Metrics::text() const {
    return prometheus::TextSerializer().Serialize(families_->registry.Collect());
}

}  // namespace anisehold::observability
