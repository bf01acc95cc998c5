/** A fleet in simulated time: servers with the real gates and speeds, and daemons with the real directories
   and selection, which send requests to them. For tests of the selection by present speed.

    The servers are in three zones. Each works at a speed of its own, and its machine is slowed by a noisy
    neighbor, redrawn every 600 ms. Responses and records bring the figures that the sidecar's bring.
*/
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "admission/server_gate.hpp"
#include "membership/peer_directory.hpp"
#include "selection/server_selection.hpp"
#include "speed/server_speed.hpp"

namespace anisehold::speed::test
{

struct FleetOptions
{
    std::size_t servers = 12;
    std::size_t daemons = 12;
    unsigned slots = 20;
    double workMs = 31;
    double load = 0.6; /**< Offered work as a share of the capacity with the usual noise. */
    double slowShare = 0.15;
    double slowFactor = 2.5;
    bool usesSpeed = true;
    unsigned seed = 1;
    /** Figure that server `n` states at a given slowness of its machine. */
    std::function<unsigned (std::size_t n, double slowness)> stated = [] (std::size_t, double slowness)
    { return static_cast<unsigned> (100 * slowness); };
    Duration warmUp = seconds (5);
    Duration duration = seconds (20);
};

/** What the callers received after the warm-up. */
struct FleetResult
{
    std::size_t sent = 0;
    std::size_t refused = 0;
    std::vector<double> latenciesMs; /**< Sorted. */
    std::vector<std::size_t> servedByServer;

    double percentileMs (double share) const;
    double shareWithin (double targetMs) const; /**< Among all requests, refused ones included. */
    double shareOfServer (std::size_t n) const;
};

/** Runs a fleet. */
class FleetModel
{
public:
    explicit FleetModel (FleetOptions);
    FleetResult run();

private:
    struct Server
    {
        explicit Server (unsigned slots);
        std::string name;
        std::string zone;
        double rate = 1; /**< Work done per time at the usual speed. */
        admission::ServerGate gate;
        ServerSpeed speed;
        Duration latency{};
    };
    struct Daemon
    {
        membership::PeerDirectory directory;
        selection::SelectionState selection;
    };
    struct Request
    {
        std::size_t daemon = 0;
        std::size_t server = 0;
        TimePoint arrived;
        TimePoint started;
        bool waits = false;
        std::vector<std::string> tried;
    };
    struct Event
    {
        TimePoint at;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator> (const Event& other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void schedule (TimePoint at, std::function<void()> action);
    void sendRecords (std::size_t server, std::uint64_t sequence);
    void arrive();
    void send (std::uint64_t id);
    void reach (std::uint64_t id);
    void start (std::uint64_t id);
    void finish (std::uint64_t id);
    /** Sends the result to the daemon, which ends the request or, if refused, sends it elsewhere once. */
    void answer (std::uint64_t id, bool served);
    void end (const Request&, bool served);
    void drawNoise();
    double slownessOf (std::size_t server, TimePoint) const;
    TimePoint endOfWork (std::size_t server, double workMs) const;
    membership::ServerRecord recordOf (Server&) const;
    Duration linkTime (const Request&) const;
    double unit() { return std::uniform_real_distribution<double> (0, 1) (generator); }

    FleetOptions options;
    std::mt19937 generator;
    TimePoint now = TimePoint{} + seconds (1'000);
    TimePoint began = now;
    std::vector<std::unique_ptr<Server>> servers;
    std::vector<Daemon> daemons;
    std::map<std::uint64_t, Request> requests;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    std::uint64_t nextId = 1;
    std::uint64_t nextOrder = 1;
    double requestsPerS = 0;
    std::vector<std::vector<double>> slowness; /**< By server and period of the noise. */
    FleetResult result;
};

} // namespace anisehold::speed::test
