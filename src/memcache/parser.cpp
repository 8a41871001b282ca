#include "memcache/parser.h"

#include <algorithm>
#include <cstring>
#include <utility>

#include "memcache/big_endian.h"

namespace fernward::memcache {

const char* error_code(ParseError error) {
  switch (error) {
    case ParseError::None: return "none";
    case ParseError::NotBinary: return "not-binary";
    case ParseError::WrongDirection: return "wrong-way";
    case ParseError::KeyTooLong: return "key-too-long";
    case ParseError::ExtrasTooLong: return "extras-too-long";
    case ParseError::InconsistentLengths: return "lengths";
    case ParseError::DataType: return "data-type";
    case ParseError::ValueTooLong: return "too-long";
  }
  return "none";
}

std::size_t Parser::feed(std::string_view bytes) {
  std::size_t consumed = 0;
  while (error_ == ParseError::None && consumed < bytes.size() && state_ != State::Done) {
    const std::string_view remaining = bytes.substr(consumed);
    switch (state_) {
      case State::Header: {
        // A text protocol is recognized by its first byte, as its sender may never complete a header.
        if (header_bytes_ == 0) {
          const auto magic = static_cast<std::uint8_t>(remaining[0]);
          const auto opposite = expected_ == Magic::Request ? Magic::Response : Magic::Request;
          if (magic == static_cast<std::uint8_t>(opposite)) return fail(ParseError::WrongDirection), consumed;
          if (magic != static_cast<std::uint8_t>(expected_)) return fail(ParseError::NotBinary), consumed;
        }
        const std::size_t byte_count = std::min(remaining.size(), kHeaderBytes - header_bytes_);
        std::memcpy(header_ + header_bytes_, remaining.data(), byte_count);
        header_bytes_ += byte_count;
        consumed += byte_count;
        if (header_bytes_ == kHeaderBytes && !read_header()) return consumed;
        break;
      }
      case State::Body: {
        const std::size_t byte_count = std::min<std::size_t>(remaining.size(), kept_bytes_ - body_.size());
        body_.append(remaining.substr(0, byte_count));
        consumed += byte_count;
        if (body_.size() == kept_bytes_) skip_bytes_ > 0 ? void(state_ = State::Skip) : finish();
        break;
      }
      case State::Skip: {
        const auto byte_count =
            static_cast<std::size_t>(std::min<std::uint64_t>(remaining.size(), skip_bytes_));
        skip_bytes_ -= byte_count;
        consumed += byte_count;
        if (skip_bytes_ == 0) finish();
        break;
      }
      case State::Done: break;
    }
  }
  return consumed;
}

bool Parser::read_header() {
  key_bytes_ = read_uint16(header_ + 2);
  extras_bytes_ = static_cast<unsigned char>(header_[4]);
  body_bytes_ = read_uint32(header_ + 8);
  if (header_[5] != 0) return fail(ParseError::DataType), false;
  if (key_bytes_ > kMaxKeyBytes) return fail(ParseError::KeyTooLong), false;
  if (extras_bytes_ > kMaxExtrasBytes) return fail(ParseError::ExtrasTooLong), false;
  if (extras_bytes_ + key_bytes_ > body_bytes_) return fail(ParseError::InconsistentLengths), false;
  const std::uint64_t value_bytes = body_bytes_ - extras_bytes_ - key_bytes_;
  if (value_bytes > max_value_bytes_ && value_bytes > max_skipped_bytes_)
    return fail(ParseError::ValueTooLong), false;
  frame_ = Frame{};
  frame_.magic = expected_;
  frame_.opcode = static_cast<std::uint8_t>(header_[1]);
  frame_.status = read_uint16(header_ + 6);
  frame_.opaque = read_uint32(header_ + 12);
  frame_.cas = read_uint64(header_ + 16);
  skip_bytes_ = value_bytes > max_value_bytes_ ? value_bytes : 0;
  frame_.skipped_value_bytes = skip_bytes_;
  kept_bytes_ = body_bytes_ - skip_bytes_;
  body_.clear();
  // Memory is allocated as bytes arrive, not as announced: a header alone must not reserve a megabyte.
  state_ = kept_bytes_ > 0 ? State::Body : skip_bytes_ > 0 ? State::Skip : State::Done;
  if (state_ == State::Done) finish();
  return true;
}

void Parser::finish() {
  frame_.extras = body_.substr(0, extras_bytes_);
  frame_.key = body_.substr(extras_bytes_, key_bytes_);
  frame_.value = body_.substr(extras_bytes_ + key_bytes_);
  state_ = State::Done;
}

Frame Parser::take_frame() {
  state_ = State::Header;
  header_bytes_ = 0;
  body_ = {};
  return std::move(frame_);
}

std::string encode_head(const Frame& frame, std::uint64_t value_bytes) {
  std::string output;
  output.reserve(kHeaderBytes + frame.extras.size() + frame.key.size());
  output.push_back(static_cast<char>(frame.magic));
  output.push_back(static_cast<char>(frame.opcode));
  append_big_endian(output, frame.key.size(), 2);
  append_big_endian(output, frame.extras.size(), 1);
  append_big_endian(output, 0, 1);
  append_big_endian(output, frame.status, 2);
  append_big_endian(output, frame.extras.size() + frame.key.size() + value_bytes, 4);
  append_big_endian(output, frame.opaque, 4);
  append_big_endian(output, frame.cas, 8);
  output += frame.extras;
  output += frame.key;
  return output;
}

std::string encode(const Frame& frame) { return encode_head(frame, frame.value.size()) + frame.value; }

} // namespace fernward::memcache
