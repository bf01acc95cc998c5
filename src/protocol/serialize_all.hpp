/// @file
/// Declares the fields of a message for Boost.Serialization. Inexpensive to include, unlike
/// `message_archive.hpp`.
#pragma once

namespace anisehold {

/// Saves or loads the fields in the given order, which defines the message's layout.
template <typename Archive, typename... Fields>
void serialize_all(Archive& archive, Fields&... fields) {
    (void)(archive & ... & fields);
}

}  // namespace anisehold
