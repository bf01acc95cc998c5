#include "tenancy/tenancy_messages.hpp"

#include <cstring>

#include "protocol/message_archive.hpp"

namespace anisehold::tenancy
{
namespace
{

/** First byte of every datagram: distinguishes these messages from membership records and other layouts. */
constexpr char layout = 'T';

} // namespace

std::string encode (const Message& message)
{
    return layout + archive_bytes (message);
}

std::optional<Message> decode (std::string_view bytes)
{
    std::int32_t kind = 0;

    if (bytes.size() < 1 + sizeof (kind) || bytes.front() != layout)
        return std::nullopt;

    // The archive would read a negative kind as the first one.
    std::memcpy (&kind, bytes.data() + 1, sizeof (kind));

    if (kind < 0)
        return std::nullopt;

    return unarchive_bytes<Message> (bytes.substr (1));
}

} // namespace anisehold::tenancy
