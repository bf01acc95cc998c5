/// @file
/// Small documents that every table daemon holds a copy of: the table and the claim holder view. Here is only
/// their envelope; the store owns them, and `config` and `claims` read their texts.
#pragma once

#include <array>
#include <cstdint>
#include <string>

#include "protocol/serialize_all.hpp"

namespace anisehold {

enum class DocumentKind : std::uint8_t { kTable, kHolderView };

inline constexpr std::size_t kDocumentKinds = 2;

/// Revision of each document that a daemon holds; 0 where it has none.
using DocumentRevisions = std::array<std::uint64_t, kDocumentKinds>;

/// A document at a revision of the store.
struct Document {
    DocumentKind kind = DocumentKind::kTable;
    std::uint64_t revision = 0;
    std::string text;

    template <typename Archive>
    void serialize(Archive& archive, unsigned /*version*/) {
        serialize_all(archive, kind, revision, text);
    }
};

}  // namespace anisehold
