#include "memcache/parser.h"

#include <algorithm>
#include <cstring>
#include <utility>

#include "memcache/numbers.h"

namespace fernward::memcache {

const char* fault_text(Fault fault) {
  switch (fault) {
    case Fault::None: return "none";
    case Fault::NotBinary: return "not-binary";
    case Fault::WrongWay: return "wrong-way";
    case Fault::KeyTooLong: return "key-too-long";
    case Fault::Extras: return "extras-too-long";
    case Fault::Lengths: return "lengths";
    case Fault::DataType: return "data-type";
    case Fault::TooLong: return "too-long";
  }
  return "none";
}

std::size_t Parser::feed(std::string_view bytes) {
  std::size_t taken = 0;
  while (fault_ == Fault::None && taken < bytes.size() && state_ != State::Done) {
    const std::string_view rest = bytes.substr(taken);
    switch (state_) {
      case State::Header: {
        // A text protocol is recognized by its first byte, as its sender may never complete a header.
        if (held_ == 0) {
          const auto magic = static_cast<std::uint8_t>(rest[0]);
          const auto other = expected_ == Magic::Request ? Magic::Response : Magic::Request;
          if (magic == static_cast<std::uint8_t>(other)) return fail(Fault::WrongWay), taken;
          if (magic != static_cast<std::uint8_t>(expected_)) return fail(Fault::NotBinary), taken;
        }
        const std::size_t n = std::min(rest.size(), kHeader - held_);
        std::memcpy(header_ + held_, rest.data(), n);
        held_ += n;
        taken += n;
        if (held_ == kHeader && !read_header()) return taken;
        break;
      }
      case State::Body: {
        const std::size_t n = std::min<std::size_t>(rest.size(), kept_ - body_.size());
        body_.append(rest.substr(0, n));
        taken += n;
        if (body_.size() == kept_) skip_ > 0 ? void(state_ = State::Skip) : finish();
        break;
      }
      case State::Skip: {
        const auto n = static_cast<std::size_t>(std::min<std::uint64_t>(rest.size(), skip_));
        skip_ -= n;
        taken += n;
        if (skip_ == 0) finish();
        break;
      }
      case State::Done: break;
    }
  }
  return taken;
}

bool Parser::read_header() {
  key_ = read16(header_ + 2);
  extras_ = static_cast<unsigned char>(header_[4]);
  total_ = read32(header_ + 8);
  if (header_[5] != 0) return fail(Fault::DataType), false;
  if (key_ > kLongestKey) return fail(Fault::KeyTooLong), false;
  if (extras_ > kLongestExtras) return fail(Fault::Extras), false;
  if (extras_ + key_ > total_) return fail(Fault::Lengths), false;
  const std::uint64_t value = total_ - extras_ - key_;
  if (value > most_value_ && value > most_skipped_) return fail(Fault::TooLong), false;
  frame_ = Frame{};
  frame_.magic = expected_;
  frame_.opcode = static_cast<std::uint8_t>(header_[1]);
  frame_.status = read16(header_ + 6);
  frame_.opaque = read32(header_ + 12);
  frame_.cas = read64(header_ + 16);
  skip_ = value > most_value_ ? value : 0;
  frame_.skipped = skip_;
  kept_ = total_ - skip_;
  body_.clear();
  // Memory is allocated as bytes arrive, not as announced: a header alone must not reserve a megabyte.
  state_ = kept_ > 0 ? State::Body : skip_ > 0 ? State::Skip : State::Done;
  if (state_ == State::Done) finish();
  return true;
}

void Parser::finish() {
  frame_.extras = body_.substr(0, extras_);
  frame_.key = body_.substr(extras_, key_);
  frame_.value = body_.substr(extras_ + key_);
  state_ = State::Done;
}

Frame Parser::take() {
  state_ = State::Header;
  held_ = 0;
  body_ = {};
  return std::move(frame_);
}

std::string write_head(const Frame& f, std::uint64_t value_bytes) {
  std::string out;
  out.reserve(kHeader + f.extras.size() + f.key.size());
  out.push_back(static_cast<char>(f.magic));
  out.push_back(static_cast<char>(f.opcode));
  append_number(out, f.key.size(), 2);
  append_number(out, f.extras.size(), 1);
  append_number(out, 0, 1);
  append_number(out, f.status, 2);
  append_number(out, f.extras.size() + f.key.size() + value_bytes, 4);
  append_number(out, f.opaque, 4);
  append_number(out, f.cas, 8);
  out += f.extras;
  out += f.key;
  return out;
}

std::string write(const Frame& f) { return write_head(f, f.value.size()) + f.value; }

} // namespace fernward::memcache
