// The properties of each try of a client, by which machines know the work of an attempt and detect a request
// that no client sent. The load generator adds tries and the machines look them up, each on a thread of its
// own.
//
// A try is removed after the retention time, when no attempt for it can arrive any more.
#pragma once

#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "model/records.h"

namespace fernward::rig {

struct TryMetadata {
  std::uint32_t cls = 0;
  std::uint64_t key = 0, idempotency_key = 0;
  bool write = false;
  double work_ms = 0, size_bytes = 0;
  std::size_t body_bytes = 0;
  std::uint64_t body_hash = 0; // hash_of() the body of a write
};

class TryRegistry {
 public:
  // Reserves space for `expected` tries: growing the table during a run would block both threads for
  // milliseconds.
  TryRegistry(std::uint64_t secret, double retention_ms, std::size_t expected = 0)
      : secret_(secret), retention_ms_(retention_ms) {
    metadata_.reserve(expected);
  }

  void add(double now, model::TryId try_id, const TryMetadata& metadata);
  std::optional<TryMetadata> find(model::TryId try_id);

  // The X-Request-ID of a try: sixteen hexadecimal digits that do not reveal the order of tries.
  std::string request_id(model::TryId try_id) const;
  // None if the text is not sixteen hexadecimal digits. The try may be one that find() does not know.
  std::optional<model::TryId> try_id_of(std::string_view request_id_text) const;

 private:
  struct AddedTry {
    double at;
    model::TryId try_id;
  };
  std::uint64_t secret_;
  double retention_ms_;
  std::mutex mutex_;
  std::unordered_map<model::TryId, TryMetadata> metadata_;
  std::deque<AddedTry> by_age_;
};

std::string path_of(std::uint64_t key);                          // "/api/" and sixteen hexadecimal digits
std::string idempotency_key_text(std::uint64_t idempotency_key); // "k" and sixteen hexadecimal digits
std::uint64_t hash_of(std::string_view bytes);

} // namespace fernward::rig
