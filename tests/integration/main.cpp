#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>
#include <iostream>

#include "tests/support/fleet.hpp"

int main(int argc, char** argv) {
    // The fibers of this thread need their loop before anything else.
    anisehold::testing::Fleet::loop();
    const int status = Catch::Session().run(argc, argv);
    std::cout.flush();
    anisehold::net::exit_process(status);
}
