#include "logging/utc_time.hpp"

#include <array>
#include <ctime>

namespace anisehold::logging
{

std::string utcText (std::chrono::system_clock::time_point moment)
{
    const std::time_t wholeSeconds = std::chrono::system_clock::to_time_t (moment);
    const auto millis =
        std::chrono::duration_cast<std::chrono::milliseconds> (moment.time_since_epoch()).count() % 1000;
    std::tm parts{};
    gmtime_r (&wholeSeconds, &parts);
    std::array<char, 32> text{};
    const auto length = std::strftime (text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::string fraction = std::to_string (1000 + millis);
    fraction.front() = '.';
    return std::string (text.data(), length) + fraction + "Z";
}

} // namespace anisehold::logging
