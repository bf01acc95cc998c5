/** Brings the faults of a plan about, from outside the processes, and takes them back. */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "soak/link.hpp"
#include "soak/plan.hpp"
#include "soak/promises.hpp"
#include "tests/support/sidecar_fleet.hpp"

namespace anisehold::soak
{

/** What the injector needs to know of its round. */
struct InjectorOptions
{
    Duration drainTimeout{}; /**< A replaced server serves on for twice that. */
    Duration recoveryTime{}; /**< A machine counts as struck for this long after its fault. */
    std::function<std::string (unsigned version)> configuration;
};

/** The links of one machine. */
struct MachineLinkSet
{
    std::unique_ptr<StreamLink> store;
    std::unique_ptr<StreamLink> server;
    std::unique_ptr<StreamLink> hops;
    std::unique_ptr<DatagramLink> gossip;
};

/** Owns the links of a fleet's machines. Reports acknowledged leaves, and stops that never end, to the
 * checker. */
class FaultInjector
{
public:
    FaultInjector (testing::SidecarFleet&, PromiseChecker&, const InjectorOptions&);

    /** Starts the links; before the fleet. */
    bool startLinks();

    /** Starts the plan on fibers of its own. */
    void start (const std::vector<Fault>& plan);

    /** The operator puts the next version. */
    void changeConfiguration();

    /** Whether a fault of the machine lasts, or has ended just now. */
    bool isDisturbed (std::size_t machine) const;

private:
    void injectFault (const Fault&);
    void injectProcessFault (FaultKind, std::size_t machine, TimePoint ends);
    void injectLinkFault (FaultKind, std::size_t machine, TimePoint ends);
    void injectServerFault (FaultKind, std::size_t machine, TimePoint ends);
    void signalInSeries (std::size_t machine, TimePoint ends);
    void replaceServer (std::size_t machine, TimePoint ends);
    void limitServer (std::size_t machine, TimePoint ends);
    void leaveByAnswers (std::size_t machine, TimePoint ends);
    void injectStoreFault (FaultKind, TimePoint ends);

    testing::SidecarFleet& fleet;
    PromiseChecker& checker;
    InjectorOptions options;
    std::vector<MachineLinkSet> links;
    std::map<std::size_t, TimePoint> disturbedUntil;
    TimePoint loadStarted;
    unsigned version = 1; /**< Of the configuration that was put last. */
    std::size_t replacements = 0;
};

} // namespace anisehold::soak
