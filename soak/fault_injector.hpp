/** Injects the faults of a plan from outside the processes, and removes them again. */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "soak/machine_links.hpp"
#include "soak/plan.hpp"
#include "soak/promises.hpp"
#include "tests/support/sidecar_fleet.hpp"

namespace anisehold::soak
{

/** The injector's parameters, provided by the round. */
struct InjectorOptions
{
    Duration drainTimeout{}; /**< A replaced server continues to serve for twice this time. */
    Duration settleTime{};   /**< A machine counts as disturbed for this time after its fault. */
    std::function<std::string (unsigned version)> configuration;
    std::string atMostOnceService; /**< The service of requests that may run at most once. */
};

/** Owns the links of a fleet's machines. Reports acknowledged leaves, and stops that never end, to the
    checker. */
class FaultInjector
{
public:
    FaultInjector (testing::SidecarFleet&, PromiseChecker&, const InjectorOptions&);

    /** Starts the links; call before the fleet starts. */
    bool startLinks();

    /** Starts each fault of the plan on its own fiber. */
    void start (const std::vector<Fault>& plan);

    /** Publishes the next version of the configuration. */
    void changeConfiguration();

    /** Whether a fault of the machine is active or ended shortly before. */
    bool isDisturbed (std::size_t machine) const;

private:
    void injectFault (const Fault&);
    void injectProcessFault (FaultKind, std::size_t machine, TimePoint ends);
    void injectLinkFault (FaultKind, std::size_t machine, TimePoint ends);
    void injectServerFault (FaultKind, std::size_t machine, TimePoint ends);
    void signalInSeries (std::size_t machine, TimePoint ends);
    void replaceServer (std::size_t machine, TimePoint ends);
    void limitServer (std::size_t machine, TimePoint ends);
    void leaveByResponses (std::size_t machine, TimePoint ends);
    void repeatRefusals (RefusalCopy, TimePoint ends);
    void stutter (TimePoint ends);
    void pauseOften (std::size_t machine, TimePoint ends);
    void injectStoreFault (FaultKind, TimePoint ends);

    testing::SidecarFleet& fleet;
    PromiseChecker& checker;
    InjectorOptions options;
    std::vector<MachineLinkSet> links;
    std::map<std::size_t, TimePoint> disturbedUntil;
    TimePoint loadStarted;
    unsigned version = 1; /**< Latest version of the configuration. */
    std::size_t replacements = 0;
    std::minstd_rand random;
};

} // namespace anisehold::soak
