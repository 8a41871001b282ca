#include "model/rng.h"

#include <doctest/doctest.h>

#include <cmath>

using namespace fernward::model;

TEST_CASE("random streams repeat for the same name and differ for another name or number") {
  Engine a = stream(7, "arrivals"), b = stream(7, "arrivals"), c = stream(7, "work"),
         d = stream(7, "work", 1);
  CHECK(a() == b());
  CHECK(stream(7, "arrivals")() != c());
  CHECK(stream(7, "work")() != d());
  CHECK(stream(8, "work")() != stream(7, "work")());
  CHECK(stream(7, "arrivals")() ==
        11290736221996528046ull); // must not depend on the platform or the standard library
}

TEST_CASE("drawn values have the requested mean and coefficient of variation") {
  const struct {
    Distribution distribution;
    double mean, cv;
  } cases[] = {{{DistributionShape::Fixed, 5, 2}, 5, 0},
               {{DistributionShape::Exponential, 100, 0}, 100, 1},
               {{DistributionShape::LogNormal, 4000, 0.8}, 4000, 0.8},
               {{DistributionShape::LogNormal, 3, 0}, 3, 0},
               {{DistributionShape::Exponential, 0, 1}, 0, 0}};
  for (const auto& test_case : cases) {
    Engine engine = stream(1, "spread");
    double sum = 0, square_sum = 0;
    const int draw_count = 200000;
    for (int i = 0; i < draw_count; ++i) {
      const double value = draw(test_case.distribution, engine);
      sum += value, square_sum += value * value;
    }
    const double mean = sum / draw_count,
                 cv = mean > 0 ? std::sqrt(std::max(0.0, square_sum / draw_count - mean * mean)) / mean : 0;
    CHECK(mean == doctest::Approx(test_case.mean).epsilon(0.01));
    CHECK(cv == doctest::Approx(test_case.cv).epsilon(0.02));
  }
}
