/// @file
/// The load generator: open-loop arrivals by kind, clients that retry, and a check of every response.
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
    std::string only_kind;  ///< Sends only this kind; empty for the deployment's mix.
    unsigned client_retries = 0;
    bool hard = false;  ///< Retries immediately; otherwise after the time that the response names.
    milliseconds client_timeout_ms{5'000};  ///< Timeout of one request with all its retries.
    std::string id_prefix = "r";            ///< Distinguishes several load generators.
    bool client_delay = true;               ///< Whether the deployment's client delay is simulated.
};

/// Result of a client's request.
enum class RequestOutcome { kWhole, kRefused, kFailed, kWrong };

/// Runs the load once and prints a summary.
class Load {
  public:
    Load(boost::asio::io_context& io, Deployment deployment, LoadOptions options, CallTargets targets);

    /// Blocks until all requests have ended and prints a JSON summary to standard output. Returns false if a
    /// response was wrong.
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
        bool final_answer = false;  ///< A retry can't succeed.
        bool not_run = false;       ///< The response states that nothing was run.
        milliseconds retry_after{100};
    };

    const KindSpec& pick_kind();
    void run_request(const KindSpec& kind, const std::string& id);
    Attempt attempt(const KindSpec& kind, const std::string& id, TimePoint deadline);
    Attempt classify(const KindSpec& kind, const std::string& id, net::HttpResponse& response) const;
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
