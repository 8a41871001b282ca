// The response bodies of simulated servers. A body contains the try, attempt, machine and key that it was
// made for and a tag that only this run can compute, so that a client can verify without shared state that a
// machine made the body for its try.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "model/records.h"

namespace fernward::rig {

struct BodyMetadata {
  model::TryId try_id = 0;
  model::AttemptId attempt = 0;
  model::MachineId machine = 0;
  std::uint64_t key = 0;
};

// Makes and verifies the bodies of one run. May be used from any thread.
class BodyCodec {
 public:
  explicit BodyCodec(std::uint64_t secret) : secret_(secret) {}

  // Returns a body of `size` bytes, but at least the length of the metadata and at most http::kMaxBodyBytes.
  std::string encode(const BodyMetadata& metadata, double size) const;
  // Returns the metadata; none: at least one byte differs from the body that encode() returns.
  std::optional<BodyMetadata> decode(std::string_view body) const;

 private:
  std::uint64_t compute_tag(const BodyMetadata& metadata, std::size_t size) const;
  std::uint64_t secret_;
};

// The body of a client's write: `size` bytes derived from its try, at least 1.
std::string written_value(model::TryId try_id, double size);

} // namespace fernward::rig
