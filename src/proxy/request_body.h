// The body of a request while it comes from the client: kept as far as it serves a further attempt (body_buffers/retained_bodies.h
// decides), and read by attempts, each from its own place. Only long bodies come this way; a short one is in its
// Call, whole.
//
// One thread. The stores outlive it. Its callbacks are called from within its own functions, and may not end it.
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
      : keeper(rules), bytes(account), folder(path.empty() ? nullptr : new spill::Folder(path)) {}
  body_buffers::RetainedBodies keeper;
  body_buffers::BufferBudget& bytes;     // for what is passed on without being kept
  std::unique_ptr<spill::Folder> folder; // null: there is none
};

class RequestBody {
 public:
  RequestBody(BodyStores& stores, std::optional<std::uint64_t> length);
  ~RequestBody();
  RequestBody(const RequestBody&) = delete;
  RequestBody& operator=(const RequestBody&) = delete;

  // ---- the client's side ----
  void on_room(std::function<void()> call) { room_again_ = std::move(call); }
  std::size_t room() const; // bytes it takes now; 0: on_room's call comes when there is room again
  bool put(std::string_view bytes, loop::IoBuffer& block); // no more than that; false: longer than it may be
  void end();                                              // it has come whole
  void cut();                                              // the rest will never come
  bool may_flow() const { return body_.may_flow(whole_) || room() == 0; } // else it could never come whole
  double due_ms(double base_ms) const { return body_.due_ms(base_ms); }

  // ---- the attempts' side ----
  std::optional<std::uint64_t> length() const { return length_; }
  std::uint64_t come() const { return body_.come(); }
  bool whole() const { return whole_; }
  body_buffers::Allows allows() const { return body_.allows(); }
  body_buffers::Level level() const { return body_.level(); }

  class Reader { // of one attempt; the Inflow outlives it
   public:
    ~Reader();
    Reader(const Reader&) = delete;
    Reader& operator=(const Reader&) = delete;

    enum class Got { Bytes, Later, End, Lost }; // later: `more` is called; lost: the rest can't be had
    Got read(char* into, std::size_t most, std::size_t& bytes);
    std::uint64_t at() const { return at_; }

   private:
    friend class RequestBody;
    Reader(RequestBody& from, std::function<void()> more) : from_(from), more_(std::move(more)) {}
    RequestBody& from_;
    std::function<void()> more_;
    std::uint64_t at_ = 0;
  };
  std::unique_ptr<Reader> read(std::function<void()> more);

 private:
  void tell();

  BodyStores& stores_;
  std::optional<std::uint64_t> length_;
  body_buffers::RetainedBodies::Body body_;
  std::string memory_;                // the first part
  std::unique_ptr<spill::File> file_; // what follows
  loop::Buffer passing_;              // and what is not kept: it goes as it is read
  body_buffers::BufferBudget::Hold hold_;
  std::uint64_t gone_ = 0; // of what is not kept, read and gone
  bool whole_ = false, cut_ = false;
  std::function<void()> room_again_;
  std::list<Reader*> readers_;
};

} // namespace fernward::proxy
