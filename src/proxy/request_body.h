// The body of a long request while it arrives from the client. It is retained for further attempts as far as
// body_buffers/retained_bodies.h allows, and read by attempts, each at its own offset. Short bodies are
// complete in their ClientRequest. Single-threaded; BodyStores must outlive it. Callbacks are called from its
// methods and must not destroy it.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "body_buffers/buffer_budget.h"
#include "body_buffers/retained_bodies.h"
#include "loop/buffer.h"
#include "spill/spill_file.h"

namespace fernward::proxy {

// Storage shared by the bodies of all requests.
struct BodyStores {
  // `memory`: the budget of the whole process; null: none.
  BodyStores(const body_buffers::RetentionLimits& limits, body_buffers::BufferBudget& shared_budget,
             const std::string& path, const memory_budget::MemoryBudget* memory = nullptr)
      : retained(limits, memory),
        buffer_budget(shared_budget),
        spill_folder(path.empty() ? nullptr : new spill::SpillFolder(path)) {}
  body_buffers::RetainedBodies retained;
  body_buffers::BufferBudget& buffer_budget;        // for the bytes that are not retained
  std::unique_ptr<spill::SpillFolder> spill_folder; // null: none is configured
};

class RequestBody {
 public:
  RequestBody(BodyStores& stores, std::optional<std::uint64_t> length);
  ~RequestBody();
  RequestBody(const RequestBody&) = delete;
  RequestBody& operator=(const RequestBody&) = delete;

  // ---- called by the client side ----
  void set_on_writable(std::function<void()> callback) { on_writable_ = std::move(callback); }
  // The number of bytes that append() accepts. After 0, on_writable is called when it accepts bytes again.
  std::size_t writable_bytes() const;
  // `bytes` is no longer than writable_bytes(). False: the body is too long.
  bool append(std::string_view bytes);
  // The last byte has arrived.
  void complete();
  // The remaining bytes of the body will never arrive.
  void abort();
  // Whether an attempt may start before the body is complete. A body whose buffer is full may always be
  // streamed: it could not become complete otherwise.
  bool may_stream() const { return body_.may_stream(complete_) || writable_bytes() == 0; }
  double receive_timeout_ms(double base_ms) const { return body_.receive_timeout_ms(base_ms); }

  // ---- called by attempts ----
  std::optional<std::uint64_t> length() const { return length_; }
  std::uint64_t received_bytes() const { return body_.received_bytes(); }
  bool is_complete() const { return complete_; }
  body_buffers::BodyAvailability availability() const { return body_.availability(); }
  body_buffers::Retention retention() const { return body_.retention(); }

  // Reads the body for one attempt. The RequestBody must outlive it.
  class Reader {
   public:
    ~Reader();
    Reader(const Reader&) = delete;
    Reader& operator=(const Reader&) = delete;

    // Pending: on_readable is called when there is more. Unavailable: the body can't be read from this offset
    // on.
    enum class ReadResult { Bytes, Pending, End, Unavailable };
    ReadResult read(char* destination, std::size_t max_bytes, std::size_t& bytes);
    std::uint64_t offset() const { return offset_; }

   private:
    friend class RequestBody;
    Reader(RequestBody& body, std::function<void()> on_readable)
        : body_(body), on_readable_(std::move(on_readable)) {}
    RequestBody& body_;
    std::function<void()> on_readable_;
    std::uint64_t offset_ = 0;
  };
  std::unique_ptr<Reader> add_reader(std::function<void()> on_readable);

 private:
  void notify_readers();

  BodyStores& stores_;
  std::optional<std::uint64_t> length_;
  body_buffers::RetainedBodies::Body body_;
  std::string memory_part_;                     // the first bytes of the body
  std::unique_ptr<spill::SpillFile> file_part_; // the bytes after them
  loop::Buffer unretained_;                     // the remaining bytes, dropped as they are read
  body_buffers::BufferBudget::Reservation unretained_reservation_;
  std::uint64_t consumed_bytes_ = 0; // bytes of unretained_ already read
  bool complete_ = false, aborted_ = false;
  std::function<void()> on_writable_;
  std::list<Reader*> readers_;
};

} // namespace fernward::proxy
