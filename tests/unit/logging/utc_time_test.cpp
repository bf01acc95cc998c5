#include <catch2/catch.hpp>

#include "logging/utc_time.hpp"

using namespace anisehold;

TEST_CASE ("a time is written in UTC with milliseconds", "[logging]")
{
    const std::chrono::system_clock::time_point epoch{};
    CHECK (logging::utcText (epoch) == "1970-01-01T00:00:00.000Z");
    CHECK (logging::utcText (epoch + std::chrono::milliseconds (86'400'007)) == "1970-01-02T00:00:00.007Z");
}
