/// @file
/// Writes and reads golden files that contain several named messages.
#pragma once

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "golden.hpp"

namespace anisehold::golden {

/// A message in its wire or storage encoding.
struct Sample {
    std::string name;
    std::string bytes;

    bool operator==(const Sample&) const = default;
};

/// Each sample as its name on a line, its bytes as a hex dump and an empty line.
std::string dump_of(const std::vector<Sample>& samples);
/// Each sample as its name on a line, its text on the next line and an empty line. For texts without line
/// ends.
std::string text_of(const std::vector<Sample>& samples);

std::string content_of(const std::string& file);
/// The samples in a golden file written by `dump_of`.
std::vector<Sample> dumped_in(const std::string& file);
/// The samples in a golden file written by `text_of`.
std::vector<Sample> texts_in(const std::string& file);

/// Fails unless decoding and re-encoding each message reproduces its bytes. `round_trip` decodes and
/// re-encodes bytes.
template <typename RoundTrip>
void check_round_trip(const std::vector<Sample>& read, const std::vector<Sample>& samples,
                      const RoundTrip& round_trip) {
    REQUIRE(read.size() == samples.size());
    for (const auto& sample : read) {
        INFO("message " << sample.name);
        CHECK(hex_dump(round_trip(sample.bytes)) == hex_dump(sample.bytes));
    }
}

/// Fails unless the file contains exactly these messages, byte for byte, and each message in the file
/// survives a round trip.
template <typename RoundTrip>
void check_dump(const std::string& file, const std::vector<Sample>& samples, const RoundTrip& round_trip) {
    check(file, dump_of(samples));
    check_round_trip(dumped_in(file), samples, round_trip);
}

/// `check_dump` for texts.
template <typename RoundTrip>
void check_text(const std::string& file, const std::vector<Sample>& samples, const RoundTrip& round_trip) {
    check(file, text_of(samples));
    check_round_trip(texts_in(file), samples, round_trip);
}

}  // namespace anisehold::golden
