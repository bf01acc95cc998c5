#include "logging/json_line.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <random>

using namespace anisehold::logging;
using nlohmann::json;

namespace
{

std::string lineOf (std::string_view value)
{
    auto line = beginLine();
    appendField (line, "value", value);
    finishLine (line);
    return line;
}

} // namespace

TEST_CASE ("an object without fields, and one with several", "[logging]")
{
    auto line = beginLine();
    finishLine (line);
    CHECK (line == "{}");
    line = beginLine();
    appendField (line, "name", "ingress-call");
    appendField (line, "event", 1601U);
    finishLine (line);
    CHECK (line == R"({"name":"ingress-call","event":1601})");
}

TEST_CASE ("quotes, line ends and control bytes can't break a line", "[logging]")
{
    const std::string value = std::string ("a\"b\\c\nd\re\t\x01\x1f") + '\0' + "f";
    const auto line = lineOf (value);
    CHECK (line.find ('\n') == std::string::npos);
    CHECK (json::parse (line).at ("value").get<std::string>() == value);
}

TEST_CASE ("well-formed UTF-8 stays as it is", "[logging]")
{
    const std::string value =
        "\xC3\xA9 \xE2\x82\xAC \xF0\x9F\x8D\x80 \xED\x9F\xBF \xEE\x80\x80 \xF4\x8F\xBF\xBF";
    CHECK (json::parse (lineOf (value)).at ("value").get<std::string>() == value);
}

TEST_CASE ("arbitrary bytes yield a line that parses", "[logging]")
{
    std::mt19937 random (5);

    for (int n = 0; n < 20'000; ++n)
    {
        std::string value;

        for (auto left = random() % 12; left > 0; --left)
            value += static_cast<char> (random() % 2 == 0 ? random() : 0x80 + random() % 0x80);

        const auto parsed = json::parse (lineOf (value), nullptr, false);
        REQUIRE_FALSE (parsed.is_discarded());
        REQUIRE (parsed.at ("value").is_string());
    }
}
