// Buffer budget, start of buffered responses, retention of request bodies and rules for further attempts:
// tables of cases, and properties over random schedules.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <memory>
#include <vector>

#include "body_buffers/buffer_budget.h"
#include "body_buffers/response_buffering.h"
#include "body_buffers/retained_bodies.h"

using namespace fernward;
using namespace fernward::body_buffers;

namespace {

// Returns whether the property holds; RapidCheck prints the schedule that violates it.
template <typename Property>
bool holds(const char* what, Property property) {
  return rc::check(what, property);
}

std::size_t below(std::size_t limit) { return *rc::gen::inRange<std::size_t>(0, limit); }

} // namespace

TEST_CASE("the window is large for few holders and small for many and each holder keeps its reserved part") {
  BufferBudget account({8 << 20, 256, 4 << 10, 1 << 20, 1.0 / 16});
  BufferBudget::Reservation first(account);
  CHECK(first.window() > 400 << 10);
  std::vector<std::unique_ptr<BufferBudget::Reservation>> crowd;
  for (int i = 0; i < 255; ++i) { // acquire all that is available, release nothing
    crowd.push_back(std::make_unique<BufferBudget::Reservation>(account));
    for (std::size_t room; (room = std::min<std::size_t>(crowd.back()->available(), 4096)) > 0;) {
      REQUIRE(crowd.back()->acquire(room));
    }
  }
  CHECK(first.available() >= 4 << 10);
  CHECK(first.window() < 5 << 10);
  crowd.clear();
  CHECK(account.held() == 0);
  CHECK(first.window() > 400 << 10);
}

TEST_CASE("reading resumes once half of the window is free and the longest waiting holder resumes first") {
  BufferBudget account({1000, 1, 0, 400, 1.0});
  BufferBudget::Reservation a(account), b(account);
  REQUIRE(a.acquire(400));
  CHECK(a.available() == 0);
  CHECK_FALSE(a.may_resume());
  a.release(100);
  CHECK(a.available() == 100);
  CHECK_FALSE(a.may_resume());
  a.release(100);
  CHECK(a.may_resume());

  BufferBudget::Reservation all(account);
  REQUIRE(all.acquire(800));
  CHECK_FALSE(b.acquire(1));
  CHECK(b.available() == 0);
  b.wait_for_bytes(7);
  a.wait_for_bytes(8);
  CHECK(account.next_resumable() == std::nullopt);
  BufferBudget::Reservation moved(std::move(b)); // a moved reservation keeps its position in the waiting list
  all.release_all();
  CHECK(account.next_resumable() == 7u);
  a.release(200);
  CHECK(account.next_resumable() == 8u);
  CHECK(account.next_resumable() == std::nullopt);
  a.wait_for_bytes(8);
  a.release_all(); // releasing everything ends the wait
  CHECK(account.waiting() == 0);
}

TEST_CASE("held bytes stay within the total and are released once and reserved parts stay available") {
  CHECK(holds("account", [] {
    const std::size_t most_holders = below(20) + 1;
    BufferBudget account({below(50000) + 100, most_holders, below(500), below(20000) + 1,
                          0.01 + 0.01 * static_cast<double>(below(200))});
    std::vector<std::unique_ptr<BufferBudget::Reservation>> holders;
    const auto steps = below(300);
    bool merged = false; // one reservation then holds the reserved parts of two
    for (std::size_t step = 0; step < steps; ++step) {
      if (holders.empty() || (holders.size() < most_holders && below(6) == 0)) {
        holders.push_back(std::make_unique<BufferBudget::Reservation>(account));
      }
      const std::size_t at = below(holders.size()), other = below(holders.size());
      BufferBudget::Reservation& h = *holders[at];
      const auto drop = [&](std::size_t i) {
        holders.erase(holders.begin() + static_cast<std::ptrdiff_t>(i));
      };
      switch (below(8)) {
        case 0: h.release(below(3000)); break; // bounded by the bytes held
        case 1: drop(at); break;
        case 2: {
          BufferBudget::Reservation moved(std::move(h));
          h = std::move(moved);
          break;
        }
        case 3:
          if (at == other) break;
          merged = true;
          holders[other]->merge(std::move(h));
          drop(at);
          break;
        case 4: h.wait_for_bytes(step); break;
        case 5: account.next_resumable(); break;
        default: {
          const std::size_t room = h.available(), take = below(2) == 0 ? room : below(room + 1);
          RC_ASSERT(h.acquire(take)); // available bytes can be acquired
          RC_ASSERT(!h.acquire(account.free() + 1));
        }
      }
      std::size_t sum = 0;
      for (const auto& holder : holders) {
        sum += holder->bytes();
        if (holder->bytes() == 0 && !merged) RC_ASSERT(holder->available() >= account.reserved_per_holder());
      }
      RC_ASSERT(sum == account.held());
      RC_ASSERT(account.peak_held() <= account.total());
    }
    holders.clear();
    RC_ASSERT(account.held() == 0u);
    RC_ASSERT(account.waiting() == 0u);
  }));
}

TEST_CASE("start of a buffered response") {
  const ResponseBufferingLimits rules{1000, 400, 100};
  struct Case {
    const char* what;
    ResponseProgress facts; // announced, received, complete, within buffering time, window, available
    ResponseStep step;
  };
  using S = ResponseStep;
  for (const Case& c : std::initializer_list<Case>{
           {"head only", {50, 0, false, true, 500, 500}, S::Buffer},
           {"empty body", {0, 0, true, true, 500, 500}, S::Start},
           {"short and incomplete", {400, 399, false, true, 500, 101}, S::Buffer},
           {"whole", {400, 400, true, true, 500, 100}, S::Start},
           {"short, but the buffering time is over", {400, 1, false, false, 500, 500}, S::Start},
           {"no bytes available any more", {400, 200, false, true, 500, 0}, S::Start},
           {"no bytes available from the start", {400, 0, false, true, 500, 0}, S::Start},
           {"short, but longer than the window", {300, 100, false, true, 200, 100}, S::Start},
           {"long, below the minimum to start", {401, 99, false, true, 500, 400}, S::Buffer},
           {"long, minimum to start received", {401, 100, false, true, 500, 400}, S::Start},
           {"window smaller than the minimum to start", {401, 60, false, true, 60, 1}, S::Start},
           {"unknown length, fits the buffer", {{}, 399, false, true, 500, 101}, S::Buffer},
           {"unknown length, buffer full", {{}, 400, false, true, 500, 100}, S::Start},
           {"announced length equal to the limit", {1000, 100, false, true, 500, 100}, S::Start},
           {"announced length above the limit", {1001, 0, false, true, 500, 500}, S::TooLarge},
           {"received bytes above the limit", {{}, 1001, false, true, 2000, 500}, S::TooLarge},
           {"three gigabytes announced", {3000000000, 100, true, false, 500, 0}, S::TooLarge},
       }) {
    CAPTURE(c.what);
    CHECK(next_step(rules, c.facts) == c.step);
  }
}

TEST_CASE("retention level of a body") {
  const RetentionLimits rules{1000, 100, 250, 400, 500, 2, 50, 256};
  RetainedBodies keeper(rules);
  using Put = RetainedBodies::Placement;
  {
    RetainedBodies::Body small(keeper, 100), larger(keeper, 101), second(keeper, 100), third(keeper, 100),
        fourth(keeper, 100);
    CHECK(small.retention() == Retention::Memory);
    CHECK(larger.retention() == Retention::File);
    CHECK(second.retention() == Retention::Memory);
    CHECK(third.retention() == Retention::File); // the memory for all bodies is reserved
    CHECK(keeper.memory_bytes() == 200);
    CHECK(RetainedBodies::Body(keeper, 400).retention() == Retention::None); // and so is the file space
    CHECK(RetainedBodies::Body(keeper, 1001).too_long());
    CHECK(small.append(100) == Put::Memory);
    CHECK(small.append(1) == Put::TooLong); // exceeds the announced length
    CHECK(small.received_bytes() == 100);
  }
  CHECK(keeper.memory_bytes() + keeper.file_bytes() == 0);

  RetainedBodies::Body grows(keeper, std::nullopt); // chunked
  CHECK(grows.append(100) == Put::Memory);
  CHECK_FALSE(grows.may_stream(false)); // it may still end here
  CHECK(grows.append(1) == Put::File);
  CHECK(grows.may_stream(false));
  CHECK(grows.append(399) == Put::File);
  CHECK(grows.availability().retry_if_run);
  CHECK(grows.append(1) == Put::Unretained);
  CHECK(grows.availability().retry_if_not_run);
  CHECK_FALSE(grows.availability().retry_if_run);
  CHECK_FALSE(grows.availability().hedge);
  grows.mark_consumed(1);
  CHECK_FALSE(grows.availability().first_attempt);
  CHECK(grows.append(499) == Put::Unretained);
  CHECK(grows.append(1) == Put::TooLong); // exceeds the limit for any body
  CHECK(grows.receive_timeout_ms(2000) == doctest::Approx(2000 + 1000 / 256.0));
}

TEST_CASE("a file failure ends the retention and frees the unused part of its reservation") {
  RetainedBodies keeper({1000, 0, 0, 400, 400, 1, 50, 256});
  RetainedBodies::Body body(keeper, 400);
  CHECK(body.append(100) == RetainedBodies::Placement::File);
  CHECK(body.append(50) == RetainedBodies::Placement::File);
  CHECK(keeper.file_bytes() == 400);
  body.on_file_failure(50);
  CHECK(keeper.file_bytes() == 100); // bytes stored earlier can still be read
  CHECK(body.retention() == Retention::None);
  CHECK(body.availability().first_attempt);
  CHECK(body.append(10) == RetainedBodies::Placement::Unretained);
}

TEST_CASE("an attempt is sent only if both the body and the request class allow it") {
  const BodyAvailability kept{}, passing{true, true, false, false}, gone{false, false, false, false};
  const AttemptHistory none{}, not_run{1, false, false, 0}, ran{1, false, true, 100},
      out{1, true, false, 100}, ran_long_ago{1, false, true, 1000}, out_and_ran{2, true, true, 100};
  struct Row {
    Idempotency repeat;
    const AttemptHistory* past;
    bool kept, passing, gone;
  };
  for (const Row& row : std::initializer_list<Row>{
           {Idempotency::NonIdempotent, &none, true, true, false},
           {Idempotency::NonIdempotent, &not_run, true, true, false},
           {Idempotency::NonIdempotent, &ran, false, false, false},
           {Idempotency::NonIdempotent, &out, false, false, false},
           {Idempotency::WithKey, &none, true, true, false},
           {Idempotency::WithKey, &not_run, true, true, false},
           {Idempotency::WithKey, &ran, true, false, false},
           {Idempotency::WithKey, &ran_long_ago, false, false, false},
           {Idempotency::WithKey, &out, true, false, false},
           {Idempotency::Idempotent, &ran, true, false, false},
           {Idempotency::Idempotent, &ran_long_ago, true, false, false},
           {Idempotency::Idempotent, &out_and_ran, true, false, false},
       }) {
    CAPTURE(static_cast<int>(row.repeat));
    CAPTURE(row.past->attempts);
    CHECK(may_send(kept, row.repeat, 1000, *row.past) == row.kept);
    CHECK(may_send(passing, row.repeat, 1000, *row.past) == row.passing);
    CHECK(may_send(gone, row.repeat, 1000, *row.past) == row.gone);
  }
}

// Guards against sending a request twice that is not idempotent (a booking), and against a retry with a body
// of which a part is no longer available.
TEST_CASE("no schedule of bytes and faults leads to an attempt that the class or the missing body forbids") {
  CHECK(holds("resends", [] {
    const RetentionLimits rules{below(400) + 1, below(200), below(400), below(2) * below(300),
                                below(500),     below(100), 1};
    RetainedBodies keeper(rules);
    struct Request {
      Request(RetainedBodies& k, std::optional<std::uint64_t> length) : body(k, length) {}
      RetainedBodies::Body body;
      // Retained: readable from the start; consumed: read by an attempt.
      std::uint64_t come = 0, kept = 0, lost = 0;
      Idempotency repeat = Idempotency::Idempotent;
      std::vector<double> out; // when sent
      std::uint32_t attempts = 0;
      bool may_have_run = false, flowed = false;
      double first_at = -1, now = 0;
    };
    std::vector<std::unique_ptr<Request>> requests;
    for (std::size_t step = below(200); step > 0; --step) {
      if (requests.empty() || below(6) == 0) {
        const bool told = below(2) == 0;
        requests.push_back(std::make_unique<Request>(
            keeper, told ? std::optional<std::uint64_t>(below(500)) : std::nullopt));
        requests.back()->repeat =
            *rc::gen::element(Idempotency::Idempotent, Idempotency::WithKey, Idempotency::NonIdempotent);
      }
      const std::size_t at = below(requests.size());
      Request& r = *requests[at];
      r.now += static_cast<double>(below(60));
      switch (below(6)) {
        case 0: // bytes
        case 1: {
          const std::uint64_t n = below(120) + 1;
          const auto put = r.body.append(n);
          if (put == RetainedBodies::Placement::TooLong) break;
          r.come += n;
          if (put != RetainedBodies::Placement::Unretained) r.kept += n;
          if (put == RetainedBodies::Placement::File && below(4) == 0) {
            r.body.on_file_failure(n);
            r.kept -= n;
          }
          break;
        }
        case 2: // an attempt, where it is allowed
        case 3: {
          const bool running = !r.out.empty();
          const double since = r.first_at < 0 ? 0 : r.now - r.first_at;
          if (!may_send(r.body.availability(), r.repeat, 100, {r.attempts, running, r.may_have_run, since}))
            break;
          RC_ASSERT(r.lost == 0u);                  // the body is available from its first byte
          if (running) RC_ASSERT(r.kept == r.come); // and is retained for two readers
          if (running || r.may_have_run) {
            RC_ASSERT(r.repeat != Idempotency::NonIdempotent);
            RC_ASSERT(r.repeat == Idempotency::Idempotent || r.now - r.first_at < 100);
          }
          if (r.attempts == 0 || (!running && !r.may_have_run)) r.first_at = r.now;
          ++r.attempts;
          r.out.push_back(r.now);
          break;
        }
        case 4: // an attempt ends, whether run or not, with its body partly read
          if (r.out.empty()) break;
          r.out.pop_back();
          if (r.kept < r.come && below(2) == 0) {
            r.body.mark_consumed(r.come - r.kept);
            r.lost = r.come - r.kept;
          }
          r.may_have_run |= below(2) == 0;
          break;
        default: requests.erase(requests.begin() + static_cast<std::ptrdiff_t>(at));
      }
      RC_ASSERT(keeper.memory_bytes() <= rules.max_memory_bytes);
      RC_ASSERT(keeper.file_bytes() <= rules.max_file_bytes);
      RC_ASSERT(keeper.open_files() <= rules.max_files);
    }
    requests.clear();
    RC_ASSERT(keeper.memory_bytes() == 0u);
    RC_ASSERT(keeper.file_bytes() == 0u);
    RC_ASSERT(keeper.open_files() == 0u);
  }));
}
