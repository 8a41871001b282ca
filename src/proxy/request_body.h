// The body of a long request while it arrives from the client: retained for further attempts as far as
// body_buffers/retained_bodies.h decides, and read by attempts, each at its own offset. Short bodies are
// complete in their ClientRequest. One thread; BodyStores outlives it. Callbacks are called from its own
// functions and must not destroy it.
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
#include "spill/file.h"

namespace fernward::proxy {

struct BodyStores { // of all requests
  BodyStores(const body_buffers::RetentionLimits& rules, body_buffers::BufferBudget& account,
             const std::string& path)
      : retained(rules), budget(account), spill_folder(path.empty() ? nullptr : new spill::Folder(path)) {}
  body_buffers::RetainedBodies retained;
  body_buffers::BufferBudget& budget;          // for what is not retained
  std::unique_ptr<spill::Folder> spill_folder; // null: no folder is configured
};

class RequestBody {
 public:
  RequestBody(BodyStores& stores, std::optional<std::uint64_t> length);
  ~RequestBody();
  RequestBody(const RequestBody&) = delete;
  RequestBody& operator=(const RequestBody&) = delete;

  // ---- called by the client side ----
  void set_on_writable(std::function<void()> call) { on_writable_ = std::move(call); }
  std::size_t writable_bytes() const; // bytes that append() takes; 0: on_writable follows
  bool append(std::string_view bytes,
              loop::IoBuffer& block); // at most writable_bytes(); false: too long
  void complete();                    // all of it has arrived
  void abort();                       // the rest will never arrive
  bool may_stream() const {
    return body_.may_stream(complete_) || writable_bytes() == 0;
  } // full: it could never become complete
  double receive_timeout_ms(double base_ms) const { return body_.receive_timeout_ms(base_ms); }

  // ---- called by attempts ----
  std::optional<std::uint64_t> length() const { return length_; }
  std::uint64_t received_bytes() const { return body_.received_bytes(); }
  bool is_complete() const { return complete_; }
  body_buffers::BodyAvailability availability() const { return body_.availability(); }
  body_buffers::Retention retention() const { return body_.retention(); }

  class Reader { // of one attempt; the RequestBody outlives it
   public:
    ~Reader();
    Reader(const Reader&) = delete;
    Reader& operator=(const Reader&) = delete;

    enum class ReadResult {
      Bytes,
      Pending,
      End,
      Unavailable
    }; // Pending: on_more follows; Unavailable: it can't be read from here on
    ReadResult read(char* into, std::size_t most, std::size_t& bytes);
    std::uint64_t offset() const { return offset_; }

   private:
    friend class RequestBody;
    Reader(RequestBody& from, std::function<void()> more) : body_(from), on_more_(std::move(more)) {}
    RequestBody& body_;
    std::function<void()> on_more_;
    std::uint64_t offset_ = 0;
  };
  std::unique_ptr<Reader> add_reader(std::function<void()> more);

 private:
  void notify_readers();

  BodyStores& stores_;
  std::optional<std::uint64_t> length_;
  body_buffers::RetainedBodies::Body body_;
  std::string in_memory_;                // the first part
  std::unique_ptr<spill::File> in_file_; // what follows
  loop::Buffer unretained_;              // the unretained rest; dropped as it is read
  body_buffers::BufferBudget::Reservation unretained_reservation_;
  std::uint64_t consumed_bytes_ = 0; // of the unretained part, already read
  bool complete_ = false, aborted_ = false;
  std::function<void()> on_writable_;
  std::list<Reader*> readers_;
};

} // namespace fernward::proxy
