/// @file
/// The load generator: open-loop arrivals by kind, clients that retry, every answer checked.
#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "lab/deployment.hpp"
#include "lab/latency_histogram.hpp"
#include "lab/service_caller.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::lab {

struct LoadOptions {
    double rate_per_second = 100;
    milliseconds duration_ms{10'000};
    std::string only_kind;  ///< Only this kind; empty for the deployment's mix.
    unsigned client_retries = 0;
    bool hard = false;  ///< Retries come at once; else after the time that the answer names.
    milliseconds client_timeout_ms{5'000};  ///< For one request with all its retries.
    std::string id_prefix = "r";            ///< Distinguishes several load generators.
    bool client_delay = true;               ///< Whether the deployment's client delay is simulated.
};

/// How a client's request ended.
enum class RequestOutcome { kWhole, kRefused, kFailed, kWrong };

/// Runs the load once and reports.
class Load {
  public:
    Load(boost::asio::io_context& io, Deployment deployment, LoadOptions options, CallTargets targets);

    /// Blocks until all requests have ended; prints a JSON summary to standard output. Returns false if an
    /// answer was wrong.
    bool run();

  private:
    struct KindResult {
        std::uint64_t sent = 0;
        std::uint64_t attempts = 0;
        std::uint64_t whole = 0;
        std::uint64_t refused = 0;
        std::uint64_t failed = 0;
        std::uint64_t wrong = 0;
        LatencyHistogram latencies;
    };
    struct Attempt {
        RequestOutcome outcome = RequestOutcome::kFailed;
        bool final_answer = false;  ///< Asking again can't help.
        bool not_run = false;       ///< The answer says that nothing was run.
        milliseconds come_back{100};
    };

    const KindSpec& pick_kind();
    void run_request(const KindSpec& kind, const std::string& id);
    Attempt attempt(const KindSpec& kind, const std::string& id, TimePoint deadline);
    Attempt judge(const KindSpec& kind, const std::string& id, net::HttpResponse& response) const;
    void print_summary() const;

    Deployment deployment_;
    LoadOptions options_;
    ServiceCaller caller_;
    std::mt19937_64 random_;
    TimePoint started_;
    std::uint64_t running_ = 0;
    std::uint64_t sent_ = 0;
    std::map<std::string, KindResult> results_;
    std::vector<std::string> not_run_ids_;
};

}  // namespace anisehold::lab
