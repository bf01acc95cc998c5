/** Flat JSON objects of texts, written straight into one string.

    A log line is built for each decision, so no tree of values is made on the way: that took 10 % of a
   sidecar's processor time under load, by a profile. Bytes that aren't UTF-8 become the replacement
   character: requests bring any bytes. Pure.
*/
#pragma once

#include <string>
#include <string_view>

namespace anisehold::logging
{

/** Begins an empty object; `finishLine` must end it. */
std::string beginLine();

/** Adds a field whose value is a text. */
void appendField (std::string& line, std::string_view name, std::string_view value);

/** Adds a field whose value is a number. */
void appendField (std::string& line, std::string_view name, unsigned value);

/** Ends the object. */
void finishLine (std::string& line);

} // namespace anisehold::logging
