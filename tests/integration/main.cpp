#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>
#include <iostream>

#include "tests/support/fleet.hpp"
#include "tests/support/run_folder.hpp"

namespace {

/// Keeps the processes' output of each failed test case, and prints its location.
struct RunFolderListener : Catch::TestEventListenerBase {
    using TestEventListenerBase::TestEventListenerBase;

    void testCaseEnded(const Catch::TestCaseStats& stats) override {
        const auto folders = anisehold::testing::take_run_folders();
        if (stats.totals.assertions.allPassed()) {
            anisehold::testing::remove_run_folders(folders);
            return;
        }
        for (const auto& folder : folders) {
            std::cout << "output of the processes: " << folder << std::endl;
        }
    }
};

}  // namespace

CATCH_REGISTER_LISTENER(RunFolderListener)

int main(int argc, char** argv) {
    // The fibers of this thread need their event loop first.
    anisehold::testing::Fleet::loop();
    const int status = Catch::Session().run(argc, argv);
    std::cout.flush();
    anisehold::net::exit_process(status);
}
