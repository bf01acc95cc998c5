#include "explain/log_line.hpp"

#include <ctime>
#include <nlohmann/json.hpp>

namespace anisehold::explain
{
namespace
{

using nlohmann::json;

/** Parses a time such as 2026-12-02T10:11:12.345Z. */
std::optional<milliseconds> readTime (const std::string& text)
{
    std::tm parts{};
    const char* rest = ::strptime (text.c_str(), "%Y-%m-%dT%H:%M:%S", &parts);

    if (rest == nullptr)
        return std::nullopt;

    const std::string fraction (*rest == '.' ? rest + 1 : "0");
    return milliseconds (1'000LL * ::timegm (&parts) + std::strtoll (fraction.c_str(), nullptr, 10));
}

bool contains (const std::string& text, std::string_view part)
{
    return text.find (part) != std::string::npos;
}

bool canMatter (const std::string& text, const std::string& requestId)
{
    if (contains (text, requestId) || contains (text, "root-limit-moved") || contains (text, "peer-changed"))
        return true;

    if (contains (text, "\"name\":\"server-"))
        return true;

    return contains (text, "\"name\":\"ingress-call\"") && ! contains (text, "\"outcome\":\"2");
}

} // namespace

void readRelevantLines (std::istream& input, const std::string& requestId, std::vector<LogLine>& lines)
{
    for (std::string text; std::getline (input, text);)
    {
        if (! canMatter (text, requestId))
            continue;

        if (auto line = parseLogLine (text))
            lines.push_back (std::move (*line));
    }
}

std::optional<LogLine> parseLogLine (std::string_view text)
{
    const auto brace = text.find ('{');

    if (brace == std::string_view::npos)
        return std::nullopt;

    const auto object = json::parse (text.substr (brace), nullptr, false);

    if (! object.is_object() || ! object.contains ("time") || ! object.contains ("name"))
        return std::nullopt;

    LogLine line;

    for (const auto& [key, value] : object.items())
        line.fields[key] = value.is_string() ? value.get<std::string>() : value.dump();

    line.time = line.fields["time"];
    line.member = line.fields["member"];
    line.name = line.fields["name"];
    const auto at = readTime (line.time);

    if (! at)
        return std::nullopt;

    line.at = *at;

    for (const auto* known : { "time", "member", "name", "event", "level" })
        line.fields.erase (known);

    return line;
}

std::string fieldOf (const LogLine& line, const std::string& name)
{
    const auto it = line.fields.find (name);
    return it == line.fields.end() ? std::string() : it->second;
}

} // namespace anisehold::explain
