/** `anisehold-soak`: injects random faults into real processes and checks what clients and servers
    observe. */

#include <CLI/CLI.hpp>
#include <boost/process/args.hpp>
#include <boost/process/child.hpp>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

#include "net/event_loop.hpp"
#include "soak/round.hpp"
#include "tests/support/fleet.hpp"
#include "tests/support/run_folder.hpp"

namespace anisehold::soak
{
namespace
{

constexpr int promisesHeld = 0;
constexpr int promisesBroken = 1;
constexpr int notStarted = 3;

/** Runs one round in this process and prints its results. */
int playRound (const RoundOptions& options)
{
    const auto result = runRound (options);

    if (! result.started)
    {
        std::cout << "seed " << options.seed << ": the fleet did not start; logs in " << result.logFolder
                  << "\n";
        return notStarted;
    }

    std::cout << "seed " << options.seed << ": " << result.plan.size() << " faults, " << result.numServed
              << " of " << result.numSent << " requests served, after the faults " << result.servedAfterFaults
              << (result.broken.empty() ? ", no promise broken" : ", BROKEN") << "\n";

    if (result.broken.empty())
    {
        testing::remove_run_folders (testing::take_run_folders());
        return promisesHeld;
    }

    for (const auto& it : result.plan)
        std::cout << "  fault: " << describe (it) << "\n";

    for (const auto& it : result.broken)
        std::cout << "  broken: " << nameOf (it.promise) << ": " << it.detail << "\n";

    std::cout << "  logs: " << result.logFolder << "\n";
    return promisesBroken;
}

/** Runs each round in its own process, so that rounds do not affect each other. */
int playInChild (const std::string& program, const RoundOptions& options)
{
    namespace process = boost::process;
    process::child child (program, process::args ({ "--round", std::to_string (options.seed), "--zones",
                                                    std::to_string (options.numZones), "--faults",
                                                    std::to_string (options.numFaults), "--port",
                                                    std::to_string (options.basePort) }));
    child.wait();
    return child.exit_code();
}

/** Reads the seeds of a file: the first word of each line; lines that begin with `#` are comments. */
std::vector<std::uint64_t> readSeeds (const std::string& fileName)
{
    std::vector<std::uint64_t> seeds;
    std::ifstream file (fileName);

    for (std::string line; std::getline (file, line);)
    {
        std::istringstream words (line);
        std::uint64_t seed = 0;

        if (line.starts_with ("#") || ! (words >> seed))
            continue;

        seeds.push_back (seed);
    }

    return seeds;
}

int report (std::size_t numRounds, std::size_t numBroken)
{
    std::cout << numRounds << " rounds, " << numBroken << " with a broken promise\n";
    return numBroken == 0 ? promisesHeld : promisesBroken;
}

int playSeeds (const std::string& program, RoundOptions options, const std::vector<std::uint64_t>& seeds)
{
    std::size_t numBroken = 0;

    for (const auto seed : seeds)
    {
        options.seed = seed;
        numBroken += playInChild (program, options) == promisesHeld ? 0 : 1;
    }

    return report (seeds.size(), numBroken);
}

int playFresh (const std::string& program, RoundOptions options, seconds duration)
{
    std::random_device random;
    const auto ends = TimePoint::clock::now() + duration;
    std::size_t numRounds = 0;
    std::size_t numBroken = 0;

    while (TimePoint::clock::now() < ends)
    {
        ++numRounds;
        options.seed = random();
        numBroken += playInChild (program, options) == promisesHeld ? 0 : 1;
    }

    return report (numRounds, numBroken);
}

} // namespace

int run (int argc, char** argv)
{
    CLI::App app{ "Random faults against real processes on loopback" };
    RoundOptions options;
    long long duration = 120;
    std::string seedFile;
    auto* roundOption = app.add_option ("--round", options.seed, "Plays this seed only, in this process");
    auto* fileOption =
        app.add_option ("--seeds", seedFile, "Plays the seeds of a file")->check (CLI::ExistingFile);
    app.add_option ("--seconds", duration, "Plays fresh seeds for this long")->check (CLI::PositiveNumber);
    app.add_option ("--zones", options.numZones, "Zones of the fleet, of three machines each")
        ->check (CLI::Range (1, 40));
    app.add_option ("--faults", options.numFaults, "Faults that are drawn")->check (CLI::Range (0, 200));
    app.add_option ("--port", options.basePort, "First port of the fleet");
    CLI11_PARSE (app, argc, argv);

    if (*roundOption)
        return playRound (options);

    if (*fileOption)
        return playSeeds (argv[0], options, readSeeds (seedFile));

    return playFresh (argv[0], options, seconds (duration));
}

} // namespace anisehold::soak

int main (int argc, char** argv)
{
    const int status = anisehold::soak::run (argc, argv);
    std::cout.flush();
    anisehold::net::exit_process (status);
}
