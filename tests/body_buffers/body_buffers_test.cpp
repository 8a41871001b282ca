// Buffer budget, start of buffered responses, retention of request bodies and rules for further attempts:
// tables of cases, and properties over random schedules.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <memory>
#include <vector>

#include "body_buffers/buffer_budget.h"
#include "body_buffers/receive_clock.h"
#include "body_buffers/response_buffering.h"
#include "body_buffers/retained_bodies.h"

using namespace fernward;
using namespace fernward::body_buffers;

namespace {

// Returns whether the property holds. RapidCheck prints a schedule that violates it.
template <typename Property>
bool property_holds(const char* description, Property property) {
  return rc::check(description, property);
}

std::size_t random_below(std::size_t limit) { return *rc::gen::inRange<std::size_t>(0, limit); }

} // namespace

TEST_CASE("a last byte that is read late was sent when reading stopped at the earliest") {
  ReceiveClock clock;
  CHECK(clock.sent_at_ms(100) == 100);
  clock.on_unread_bytes(100);
  clock.on_unread_bytes(300); // the delay goes on
  CHECK(clock.is_delayed());
  CHECK(clock.sent_at_ms(500) == 100);
  CHECK(clock.on_caught_up(600) == 500);
  CHECK_FALSE(clock.is_delayed());
  CHECK(clock.sent_at_ms(700) == 700);
  CHECK(clock.on_caught_up(800) == 0);
}

TEST_CASE("a last byte cannot have been sent while more bytes are missing than sockets hold") {
  ReceiveClock clock;
  clock.on_unread_bytes(100, kMaxSocketBytes + 1);
  CHECK(clock.sent_at_ms(200) == 200);
  clock.on_unread_bytes(300, kMaxSocketBytes);
  CHECK(clock.sent_at_ms(400) == 300);
}

TEST_CASE("the window is large for few holders and small for many and each holder keeps its reserved part") {
  BufferBudget budget({8 << 20, 256, 4 << 10, 1 << 20, 1.0 / 16});
  BufferBudget::Reservation first(budget);
  CHECK(first.window_bytes() > 400 << 10);
  std::vector<std::unique_ptr<BufferBudget::Reservation>> other_holders;
  for (int i = 0; i < 255; ++i) { // acquire all that is available, release nothing
    other_holders.push_back(std::make_unique<BufferBudget::Reservation>(budget));
    for (std::size_t available_bytes;
         (available_bytes = std::min<std::size_t>(other_holders.back()->available_bytes(), 4096)) > 0;) {
      REQUIRE(other_holders.back()->acquire(available_bytes));
    }
  }
  CHECK(first.available_bytes() >= 4 << 10);
  CHECK(first.window_bytes() < 5 << 10);
  other_holders.clear();
  CHECK(budget.held_bytes() == 0);
  CHECK(first.window_bytes() > 400 << 10);
}

TEST_CASE("reading resumes once half of the window is free and the longest waiting holder resumes first") {
  BufferBudget budget({1000, 1, 0, 400, 1.0});
  BufferBudget::Reservation first(budget), second(budget);
  REQUIRE(first.acquire(400));
  CHECK(first.available_bytes() == 0);
  CHECK_FALSE(first.may_resume());
  first.release(100);
  CHECK(first.available_bytes() == 100);
  CHECK_FALSE(first.may_resume());
  first.release(100);
  CHECK(first.may_resume());

  BufferBudget::Reservation largest(budget);
  REQUIRE(largest.acquire(800));
  CHECK_FALSE(second.acquire(1));
  CHECK(second.available_bytes() == 0);
  second.wait_for_bytes(7);
  first.wait_for_bytes(8);
  CHECK(budget.next_resumable() == std::nullopt);
  // A moved reservation keeps its position in the waiting list.
  BufferBudget::Reservation moved(std::move(second));
  largest.release_all();
  CHECK(budget.next_resumable() == 7u);
  first.release(200);
  CHECK(budget.next_resumable() == 8u);
  CHECK(budget.next_resumable() == std::nullopt);
  first.wait_for_bytes(8);
  first.release_all(); // releasing everything ends the wait
  CHECK(budget.waiting_holders() == 0);
}

TEST_CASE("held bytes stay within the total and are released once and reserved parts stay available") {
  CHECK(property_holds("account", [] {
    const std::size_t max_holders = random_below(20) + 1;
    BufferBudget budget({random_below(50000) + 100, max_holders, random_below(500), random_below(20000) + 1,
                         0.01 + 0.01 * static_cast<double>(random_below(200))});
    std::vector<std::unique_ptr<BufferBudget::Reservation>> holders;
    const auto steps = random_below(300);
    bool merged = false; // one reservation then holds the reserved parts of two
    for (std::size_t step = 0; step < steps; ++step) {
      if (holders.empty() || (holders.size() < max_holders && random_below(6) == 0)) {
        holders.push_back(std::make_unique<BufferBudget::Reservation>(budget));
      }
      const std::size_t position = random_below(holders.size()), other = random_below(holders.size());
      BufferBudget::Reservation& reservation = *holders[position];
      const auto erase_holder = [&](std::size_t index) {
        holders.erase(holders.begin() + static_cast<std::ptrdiff_t>(index));
      };
      switch (random_below(8)) {
        case 0: reservation.release(random_below(3000)); break; // bounded by the bytes held
        case 1: erase_holder(position); break;
        case 2: {
          BufferBudget::Reservation moved(std::move(reservation));
          reservation = std::move(moved);
          break;
        }
        case 3:
          if (position == other) break;
          merged = true;
          holders[other]->merge(std::move(reservation));
          erase_holder(position);
          break;
        case 4: reservation.wait_for_bytes(step); break;
        case 5: budget.next_resumable(); break;
        default: {
          const std::size_t available_bytes = reservation.available_bytes(),
                            acquired_bytes =
                                random_below(2) == 0 ? available_bytes : random_below(available_bytes + 1);
          RC_ASSERT(reservation.acquire(acquired_bytes)); // available bytes can be acquired
          RC_ASSERT(!reservation.acquire(budget.free_bytes() + 1));
        }
      }
      std::size_t sum_bytes = 0;
      for (const auto& holder : holders) {
        sum_bytes += holder->bytes();
        if (holder->bytes() == 0 && !merged)
          RC_ASSERT(holder->available_bytes() >= budget.reserved_bytes_per_holder());
      }
      RC_ASSERT(sum_bytes == budget.held_bytes());
      RC_ASSERT(budget.peak_held_bytes() <= budget.total_bytes());
    }
    holders.clear();
    RC_ASSERT(budget.held_bytes() == 0u);
    RC_ASSERT(budget.waiting_holders() == 0u);
  }));
}

TEST_CASE("start of a buffered response") {
  const ResponseBufferingLimits limits{1000, 400, 100};
  struct Case {
    const char* description;
    ResponseProgress progress; // announced, received, complete, within buffering time, window, available
    ResponseStep step;
  };
  using Step = ResponseStep;
  for (const Case& test_case : std::initializer_list<Case>{
           {"head only", {50, 0, false, true, 500, 500}, Step::Buffer},
           {"empty body", {0, 0, true, true, 500, 500}, Step::Start},
           {"short and incomplete", {400, 399, false, true, 500, 101}, Step::Buffer},
           {"whole", {400, 400, true, true, 500, 100}, Step::Start},
           {"short, but the buffering time is over", {400, 1, false, false, 500, 500}, Step::Start},
           {"no bytes available any more", {400, 200, false, true, 500, 0}, Step::Start},
           {"no bytes available from the start", {400, 0, false, true, 500, 0}, Step::Start},
           {"short, but longer than the window", {300, 100, false, true, 200, 100}, Step::Start},
           {"long, below the minimum to start", {401, 99, false, true, 500, 400}, Step::Buffer},
           {"long, minimum to start received", {401, 100, false, true, 500, 400}, Step::Start},
           {"window smaller than the minimum to start", {401, 60, false, true, 60, 1}, Step::Start},
           {"unknown length, fits the buffer", {{}, 399, false, true, 500, 101}, Step::Buffer},
           {"unknown length, buffer full", {{}, 400, false, true, 500, 100}, Step::Start},
           {"announced length equal to the limit", {1000, 100, false, true, 500, 100}, Step::Start},
           {"announced length above the limit", {1001, 0, false, true, 500, 500}, Step::TooLarge},
           {"received bytes above the limit", {{}, 1001, false, true, 2000, 500}, Step::TooLarge},
           {"three gigabytes announced", {3000000000, 100, true, false, 500, 0}, Step::TooLarge},
       }) {
    CAPTURE(test_case.description);
    CHECK(next_response_step(limits, test_case.progress) == test_case.step);
  }
}

TEST_CASE("end of a response whose server is silent") {
  constexpr double kSilenceTimeoutMs = 5000;
  CHECK(silence_ends_at(1000, kSilenceTimeoutMs, 100000) == 6000); // the client waits
  // It stops waiting long after the last byte, or soon after it; or the server goes on after that.
  CHECK(silence_ends_at(1000, kSilenceTimeoutMs, 3000) == 3000 + kOverdueGraceMs);
  CHECK(silence_ends_at(1000, kSilenceTimeoutMs, 1100) == 1000 + kOverdueSilenceMs);
  CHECK(silence_ends_at(2000, kSilenceTimeoutMs, 1500) == 2000 + kOverdueSilenceMs);
  CHECK(silence_ends_at(2000, kOverdueSilenceMs / 2, 1500) == 2000 + kOverdueSilenceMs / 2);
}

TEST_CASE("retention level of a body") {
  const RetentionLimits limits{1000, 100, 250, 400, 500, 2, 50, 256};
  RetainedBodies bodies(limits);
  using Placement = RetainedBodies::Placement;
  {
    RetainedBodies::Body small(bodies, 100), larger(bodies, 101), second(bodies, 100), third(bodies, 100),
        fourth(bodies, 100);
    CHECK(small.retention() == Retention::Memory);
    CHECK(larger.retention() == Retention::File);
    CHECK(second.retention() == Retention::Memory);
    CHECK(third.retention() == Retention::File); // the memory for all bodies is reserved
    CHECK(bodies.memory_bytes() == 200);
    CHECK(RetainedBodies::Body(bodies, 400).retention() == Retention::None); // and so is the file space
    CHECK(RetainedBodies::Body(bodies, 1001).too_long());
    CHECK(small.append(100) == Placement::Memory);
    CHECK(small.append(1) == Placement::TooLong); // exceeds the announced length
    CHECK(small.received_bytes() == 100);
  }
  CHECK(bodies.memory_bytes() + bodies.file_bytes() == 0);

  RetainedBodies::Body growing(bodies, std::nullopt); // chunked
  CHECK(growing.append(100) == Placement::Memory);
  CHECK_FALSE(growing.may_stream(false)); // it may still end here
  CHECK(growing.append(1) == Placement::File);
  CHECK(growing.may_stream(false));
  CHECK(growing.append(399) == Placement::File);
  CHECK(growing.availability().retry_if_executed);
  CHECK(growing.append(1) == Placement::Unretained);
  CHECK(growing.availability().retry_if_not_executed);
  CHECK_FALSE(growing.availability().retry_if_executed);
  CHECK_FALSE(growing.availability().hedge);
  growing.mark_consumed(1);
  CHECK_FALSE(growing.availability().first_attempt);
  CHECK(growing.append(499) == Placement::Unretained);
  CHECK(growing.append(1) == Placement::TooLong); // exceeds the limit for any body
  CHECK(growing.receive_timeout_ms(2000) == doctest::Approx(2000 + 1000 / 256.0));
}

TEST_CASE("a file failure ends the retention and frees the unused part of its reservation") {
  RetainedBodies bodies({1000, 0, 0, 400, 400, 1, 50, 256});
  RetainedBodies::Body body(bodies, 400);
  CHECK(body.append(100) == RetainedBodies::Placement::File);
  CHECK(body.append(50) == RetainedBodies::Placement::File);
  CHECK(bodies.file_bytes() == 400);
  body.on_file_failure(50);
  CHECK(bodies.file_bytes() == 100); // bytes stored earlier can still be read
  CHECK(body.retention() == Retention::None);
  CHECK(body.availability().first_attempt);
  CHECK(body.append(10) == RetainedBodies::Placement::Unretained);
}

TEST_CASE("an attempt is sent only if both the body and the request class allow it") {
  const BodyAvailability retained{}, streamed{true, true, false, false}, consumed{false, false, false, false};
  const AttemptHistory none{}, not_run{1, false, false, 0}, ran{1, false, true, 100},
      in_flight{1, true, false, 100}, ran_before_window{1, false, true, 1000},
      in_flight_after_run{2, true, true, 100};
  struct Row {
    Idempotency idempotency;
    const AttemptHistory* history;
    bool retained, streamed, consumed;
  };
  for (const Row& row : std::initializer_list<Row>{
           {Idempotency::NonIdempotent, &none, true, true, false},
           {Idempotency::NonIdempotent, &not_run, true, true, false},
           {Idempotency::NonIdempotent, &ran, false, false, false},
           {Idempotency::NonIdempotent, &in_flight, false, false, false},
           {Idempotency::WithKey, &none, true, true, false},
           {Idempotency::WithKey, &not_run, true, true, false},
           {Idempotency::WithKey, &ran, true, false, false},
           {Idempotency::WithKey, &ran_before_window, false, false, false},
           {Idempotency::WithKey, &in_flight, true, false, false},
           {Idempotency::Idempotent, &ran, true, false, false},
           {Idempotency::Idempotent, &ran_before_window, true, false, false},
           {Idempotency::Idempotent, &in_flight_after_run, true, false, false},
       }) {
    CAPTURE(static_cast<int>(row.idempotency));
    CAPTURE(row.history->attempts);
    CHECK(may_send(retained, row.idempotency, 1000, *row.history) == row.retained);
    CHECK(may_send(streamed, row.idempotency, 1000, *row.history) == row.streamed);
    CHECK(may_send(consumed, row.idempotency, 1000, *row.history) == row.consumed);
  }
}

// Guards against sending a request twice that is not idempotent, such as a booking, and against a retry with
// a body of which a part is no longer available.
TEST_CASE("no schedule of bytes and faults leads to an attempt that the class or the missing body forbids") {
  CHECK(property_holds("resends", [] {
    const RetentionLimits limits{random_below(400) + 1,
                                 random_below(200),
                                 random_below(400),
                                 random_below(2) * random_below(300),
                                 random_below(500),
                                 random_below(100),
                                 1};
    RetainedBodies bodies(limits);
    struct Request {
      Request(RetainedBodies& bodies_in, std::optional<std::uint64_t> length) : body(bodies_in, length) {}
      RetainedBodies::Body body;
      // Retained: readable from the start; consumed: read by an attempt.
      std::uint64_t received_bytes = 0, retained = 0, consumed_bytes = 0;
      Idempotency idempotency = Idempotency::Idempotent;
      std::vector<double> in_flight; // when sent
      std::uint32_t attempts = 0;
      bool may_have_run = false, streamed_before = false;
      double first_sent_at = -1, now = 0;
    };
    std::vector<std::unique_ptr<Request>> requests;
    for (std::size_t step = random_below(200); step > 0; --step) {
      if (requests.empty() || random_below(6) == 0) {
        const bool has_length = random_below(2) == 0;
        requests.push_back(std::make_unique<Request>(
            bodies, has_length ? std::optional<std::uint64_t>(random_below(500)) : std::nullopt));
        requests.back()->idempotency =
            *rc::gen::element(Idempotency::Idempotent, Idempotency::WithKey, Idempotency::NonIdempotent);
      }
      const std::size_t position = random_below(requests.size());
      Request& request = *requests[position];
      request.now += static_cast<double>(random_below(60));
      switch (random_below(6)) {
        case 0: // bytes
        case 1: {
          const std::uint64_t added_bytes = random_below(120) + 1;
          const auto placement = request.body.append(added_bytes);
          if (placement == RetainedBodies::Placement::TooLong) break;
          request.received_bytes += added_bytes;
          if (placement != RetainedBodies::Placement::Unretained) request.retained += added_bytes;
          if (placement == RetainedBodies::Placement::File && random_below(4) == 0) {
            request.body.on_file_failure(added_bytes);
            request.retained -= added_bytes;
          }
          break;
        }
        case 2: // an attempt, where it is allowed
        case 3: {
          const bool has_in_flight = !request.in_flight.empty();
          const double since_first_ms = request.first_sent_at < 0 ? 0 : request.now - request.first_sent_at;
          if (!may_send(request.body.availability(), request.idempotency, 100,
                        {request.attempts, has_in_flight, request.may_have_run, since_first_ms}))
            break;
          RC_ASSERT(request.consumed_bytes == 0u); // the body is available from its first byte
          if (has_in_flight)
            RC_ASSERT(request.retained == request.received_bytes); // and is retained for two readers
          if (has_in_flight || request.may_have_run) {
            RC_ASSERT(request.idempotency != Idempotency::NonIdempotent);
            RC_ASSERT(request.idempotency == Idempotency::Idempotent ||
                      request.now - request.first_sent_at < 100);
          }
          if (request.attempts == 0 || (!has_in_flight && !request.may_have_run))
            request.first_sent_at = request.now;
          ++request.attempts;
          request.in_flight.push_back(request.now);
          break;
        }
        case 4: // an attempt ends, whether run or not, with its body partly read
          if (request.in_flight.empty()) break;
          request.in_flight.pop_back();
          if (request.retained < request.received_bytes && random_below(2) == 0) {
            request.body.mark_consumed(request.received_bytes - request.retained);
            request.consumed_bytes = request.received_bytes - request.retained;
          }
          request.may_have_run |= random_below(2) == 0;
          break;
        default: requests.erase(requests.begin() + static_cast<std::ptrdiff_t>(position));
      }
      RC_ASSERT(bodies.memory_bytes() <= limits.max_memory_bytes);
      RC_ASSERT(bodies.file_bytes() <= limits.max_file_bytes);
      RC_ASSERT(bodies.open_files() <= limits.max_files);
    }
    requests.clear();
    RC_ASSERT(bodies.memory_bytes() == 0u);
    RC_ASSERT(bodies.file_bytes() == 0u);
    RC_ASSERT(bodies.open_files() == 0u);
  }));
}
