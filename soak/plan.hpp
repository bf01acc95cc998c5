/** The faults of one round of the soak, drawn from a seed.

    The same seed gives the same plan on every machine: draws use the raw output of the generator, since the
    standard distributions differ between libraries. Pure.
*/
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/strong_id.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::soak
{

/** Place of a machine in the fleet, from 0. */
using MachineIndex = Strong<struct MachineIndexTag, std::size_t>;

/** What is done to the system from outside it. */
enum class FaultKind
{
    processKilled,      /**< SIGKILL; the process is started again at the end. */
    processStopped,     /**< SIGTERM, waits for the planned stop; started again at the end. */
    processPaused,      /**< SIGSTOP, then SIGCONT. */
    linksDelayed,       /**< Each chunk on the machine's links is passed on later. */
    linksReset,         /**< Open connections of the machine are reset, again and again. */
    linksSilent,        /**< Nothing passes either way; nothing is closed. */
    inboundSilent,      /**< Nothing passes from peers to the machine; answers pass. */
    answersSilent,      /**< Requests pass from peers to the machine; answers don't. */
    datagramsLost,      /**< Half of the datagrams to the machine are dropped. */
    storeLinkSilent,    /**< The machine alone has no way to the store. */
    storeLinkReset,     /**< The machine's connections to the store are reset. */
    storeRefuses,       /**< The store refuses everybody. */
    storeLosesAnswers,  /**< Writes are done and not answered. */
    storeSilent,        /**< Calls to the store are taken and not answered. */
    storeForgets,       /**< All history is dropped at once. */
    leasesEnd,          /**< All leases end at once. */
    serverDeclines,     /**< The machine's server runs nothing and says so. */
    serverLosesAnswers, /**< It runs requests and breaks off. */
    serverUnsigned,     /**< Its answers lack its signature. */
    serverConfused,     /**< Its answers bear another request's id. */
    serverHangs,        /**< It takes requests and keeps silent. */
    serverReplaced,     /**< It leaves in good order, and another one takes its address. */
    configurationChanged,
    serverLimited,    /**< All its answers name a rate limit. */
    serverLeaving,    /**< All its answers say that it leaves, its heartbeats don't; another one follows. */
    processSignalled, /**< SIGHUP again and again, and two kills with a start at once. */
    configurationsInSeries /**< New versions, quicker than they spread. */
};

/** Number of the kinds above. */
inline constexpr std::size_t numFaultKinds = static_cast<std::size_t> (FaultKind::configurationsInSeries) + 1;
/** The first of the kinds that every plan has one fault of. */
inline constexpr FaultKind firstGuaranteedKind = FaultKind::serverLimited;

/** The kind's name in reports. */
std::string_view nameOf (FaultKind);

/** Whether the fault acts on a machine's process. */
bool affectsProcess (FaultKind);

/** One fault: `kind` strikes `machine` (where it has one) at `at` and is taken back after `lasts`. */
struct Fault
{
    FaultKind kind = FaultKind::processKilled;
    MachineIndex machine;
    milliseconds at{ 0 }; /**< From the start of the load. */
    milliseconds lasts{ 0 };
};

/** What a plan is drawn for. */
struct PlanShape
{
    std::size_t numMachines = 0;
    std::size_t numFaults = 0;
    milliseconds faultsEnd{ 0 }; /**< All faults are taken back by then. */
};

/** Draws a plan, in order of its faults' start. Two faults of one machine's process never overlap. */
std::vector<Fault> drawPlan (std::uint64_t seed, const PlanShape&);

/** One line for a report. */
std::string describe (const Fault&);

} // namespace anisehold::soak
