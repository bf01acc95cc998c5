/** The faults of one round of the soak test, drawn from a seed.

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

/** Index of a machine in the fleet, from 0. */
using MachineIndex = Strong<struct MachineIndexTag, std::size_t>;

/** A fault injected into the system from outside. */
enum class FaultKind
{
    processKilled,      /**< SIGKILL; the process is restarted at the end. */
    processStopped,     /**< SIGTERM, waits for the planned stop; restarted at the end. */
    processPaused,      /**< SIGSTOP, then SIGCONT. */
    linksDelayed,       /**< Each chunk on the machine's links is delayed. */
    linksReset,         /**< Open connections of the machine are reset repeatedly. */
    linksSilent,        /**< Nothing is forwarded in either direction; no connection is closed. */
    inboundSilent,      /**< Nothing is forwarded from peers to the machine; responses are. */
    answersSilent,      /**< Requests are forwarded from peers to the machine; responses are not. */
    datagramsLost,      /**< Half of the datagrams to the machine are dropped. */
    storeLinkSilent,    /**< This machine alone cannot reach the store. */
    storeLinkReset,     /**< The machine's connections to the store are reset. */
    storeRefuses,       /**< The store refuses all calls. */
    storeLosesAnswers,  /**< Writes are executed but not answered. */
    storeSilent,        /**< Calls to the store are accepted but not answered. */
    storeForgets,       /**< The whole history is dropped at once. */
    leasesEnd,          /**< All leases end at once. */
    serverDeclines,     /**< The machine's server runs nothing and reports so. */
    serverLosesAnswers, /**< The server runs requests and closes the connection without a response. */
    serverUnsigned,     /**< The server's responses lack its signature. */
    serverConfused,     /**< The server's responses carry another request's id. */
    serverHangs,        /**< The server accepts requests and does not respond. */
    serverReplaced,     /**< The server leaves in an orderly way, and another one takes its address. */
    configurationChanged,
    serverLimited,    /**< All responses of the server state a rate limit. */
    serverLeaving,    /**< All responses of the server state that it leaves, its heartbeats do not; another
                         server follows. */
    processSignalled, /**< SIGHUP repeatedly, and two kills, each with an immediate restart. */
    configurationsInSeries, /**< New configuration versions, faster than they propagate. */
    refusalsRepeated, /**< All servers of at-most-once requests refuse half of them, and a second copy of each
                         refusal arrives late. */
    refusalsDoubled,  /**< As `refusalsRepeated`, but the second copy follows the refusal shortly. */
    processesStutter  /**< All processes are paused for short times at random, many at once. */
};

/** Number of fault kinds. */
inline constexpr std::size_t numFaultKinds = static_cast<std::size_t> (FaultKind::processesStutter) + 1;
/** The first of the kinds that every plan contains one fault of. */
inline constexpr FaultKind firstGuaranteedKind = FaultKind::serverLimited;

/** Returns the kind's name in reports. */
std::string_view nameOf (FaultKind);

/** Whether the fault affects a machine's process. */
bool affectsProcess (FaultKind);

/** One fault: `kind` affects `machine` (if the kind has one) from `at` on for `duration`. */
struct Fault
{
    FaultKind kind = FaultKind::processKilled;
    MachineIndex machine;
    milliseconds at{ 0 }; /**< Time from the start of the load. */
    milliseconds duration{ 0 };
};

/** Parameters of a plan. */
struct PlanShape
{
    std::size_t numMachines = 0;
    std::size_t numFaults = 0;
    milliseconds faultsEnd{ 0 }; /**< All faults have ended by this time. */
};

/** Draws a plan, ordered by the faults' start. Two faults of one machine's process never overlap. */
std::vector<Fault> drawPlan (std::uint64_t seed, const PlanShape&);

/** Returns one line for a report. */
std::string describe (const Fault&);

} // namespace anisehold::soak
