#include "logging/json_line.hpp"

#include <array>

namespace anisehold::logging
{
namespace
{

constexpr std::size_t usualLineBytes = 512;
constexpr std::string_view replacement = "\xEF\xBF\xBD";
constexpr unsigned char firstPrintable = 0x20;
constexpr unsigned char firstMultibyte = 0x80;

bool isContinuation (unsigned char byte)
{
    return (byte & 0xC0U) == 0x80U;
}

/** Length in bytes of the well-formed UTF-8 sequence at the start of `text` (Unicode 15, table 3-7); 0 if
    there is none. */
std::size_t sequenceLength (std::string_view text)
{
    const auto byte = [&] (std::size_t n)
    { return n < text.size() ? static_cast<unsigned char> (text[n]) : static_cast<unsigned char> (0); };
    const auto first = byte (0);
    const auto second = byte (1);

    if (first >= 0xC2 && first <= 0xDF)
        return isContinuation (second) ? 2 : 0;

    if (first >= 0xE0 && first <= 0xEF)
    {
        const bool overlong = first == 0xE0 && second < 0xA0;
        const bool surrogate = first == 0xED && second > 0x9F;
        return isContinuation (second) && isContinuation (byte (2)) && ! overlong && ! surrogate ? 3 : 0;
    }

    if (first >= 0xF0 && first <= 0xF4)
    {
        const bool overlong = first == 0xF0 && second < 0x90;
        const bool tooLarge = first == 0xF4 && second > 0x8F;
        const bool whole = isContinuation (second) && isContinuation (byte (2)) && isContinuation (byte (3));
        return whole && ! overlong && ! tooLarge ? 4 : 0;
    }

    return 0;
}

void appendControl (std::string& line, unsigned char byte)
{
    constexpr std::string_view digits = "0123456789abcdef";
    line += "\\u00";
    line += digits[byte >> 4U];
    line += digits[byte & 0xFU];
}

void appendEscaped (std::string& line, std::string_view text)
{
    line += '"';

    for (std::size_t n = 0; n < text.size();)
    {
        const auto byte = static_cast<unsigned char> (text[n]);

        if (byte >= firstMultibyte)
        {
            const auto length = sequenceLength (text.substr (n));
            line += length > 0 ? text.substr (n, length) : replacement;
            n += length > 0 ? length : 1;
            continue;
        }

        if (byte == '"' || byte == '\\')
            line += '\\';

        if (byte < firstPrintable)
            appendControl (line, byte);
        else
            line += text[n];

        ++n;
    }

    line += '"';
}

void appendName (std::string& line, std::string_view name)
{
    if (line.size() > 1)
        line += ',';

    appendEscaped (line, name);
    line += ':';
}

} // namespace

std::string beginLine()
{
    std::string line;
    line.reserve (usualLineBytes);
    line += '{';
    return line;
}

void appendField (std::string& line, std::string_view name, std::string_view value)
{
    appendName (line, name);
    appendEscaped (line, value);
}

void appendField (std::string& line, std::string_view name, unsigned value)
{
    appendName (line, name);
    line += std::to_string (value);
}

void finishLine (std::string& line)
{
    line += '}';
}

} // namespace anisehold::logging
