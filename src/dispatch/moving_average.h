// Exponentially weighted moving average.

#ifndef SRC_DISPATCH_MOVING_AVERAGE_H_
#define SRC_DISPATCH_MOVING_AVERAGE_H_

namespace filbertshift {

class MovingAverage {
 public:
  // `weight` of the latest value, from 0 to 1.
  explicit MovingAverage(double weight) : weight_(weight) {}
  // The first value initialises the average.
  void Add(double value) {
    value_ = value_ == 0 ? value : value_ + weight_ * (value - value_);
  }
  // 0 before the first value.
  double value() const { return value_; }

 private:
  double weight_;
  double value_ = 0;
};

}  // namespace filbertshift

#endif  // SRC_DISPATCH_MOVING_AVERAGE_H_
