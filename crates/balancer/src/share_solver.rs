//! Solves the concave program that gives each backend its share of the traffic.
//!
//! For n backends, with prices relative to n, speeds relative to their mean and shares that sum to
//! n, the program maximises
//!
//! ```text
//! Σ ln(1 + share · speed) − price · share    with Σ share = n,  0 ≤ share ≤ max_share
//! ```
//!
//! Its solution is `share = [1 / (price + lambda) − 1 / speed]₊`, but at most `max_share`, at the
//! one lambda for which the shares sum to n.

/// Largest number of steps in the search for lambda.
const MAX_ITERATIONS: usize = 60;
/// Error of the sum of shares, relative to n, below which the search ends.
const SUM_TOLERANCE: f64 = 1e-6;
/// Width of the bracket around lambda below which the search ends.
const BRACKET_TOLERANCE: f64 = 1e-9;

/// The parameters of one backend in the program.
pub struct ShareInput {
    /// Price of the backend, relative to the number of backends.
    pub price: f64,
    /// Speed of the backend, relative to the mean of all backends.
    pub speed: f64,
    /// Upper bound of the backend's share; infinite if there is none.
    pub max_share: f64,
}

impl ShareInput {
    /// Returns the backend's optimal share at this lambda.
    fn share(&self, lambda: f64) -> f64 {
        let total_price = self.price + lambda;
        if total_price > 0.0 {
            (1.0 / total_price - 1.0 / self.speed).clamp(0.0, self.max_share)
        } else {
            // Utility minus total price grows with the share without limit, so only the bound
            // applies.
            self.max_share
        }
    }
}

/// The solution of the program.
pub struct ShareSolution {
    /// The share of each backend, in the order of the inputs.
    pub shares: Vec<f64>,
    /// The multiplier of the constraint on the sum of shares; the next search may begin there.
    pub lambda: f64,
}

/// The sum of the shares at one lambda, and its derivative with respect to lambda.
struct ShareSum {
    sum: f64,
    slope: f64,
}

/// Solves the program by Newton steps on lambda that are kept inside a shrinking bracket.
///
/// The search begins at `initial_lambda` if that lies in the bracket, otherwise in its middle.
/// `min_total_price` bounds `price + lambda` of the cheapest backend from below: where the upper
/// bounds leave no room for a sum of n, the shares sum to less than n instead of filling up
/// expensive backends.
pub fn solve_shares(
    inputs: &[ShareInput],
    min_total_price: f64,
    initial_lambda: f64,
) -> ShareSolution {
    let n = inputs.len() as f64;
    let mut low = min_total_price - cheapest_price(inputs);
    let mut high = inputs
        .iter()
        .map(|input| input.speed - input.price)
        .fold(low, f64::max);
    let mut lambda = within_or_midpoint(initial_lambda, low, high);
    for _ in 0..MAX_ITERATIONS {
        let ShareSum { sum, slope } = sum_of_shares(inputs, lambda);
        if (sum - n).abs() < SUM_TOLERANCE * n || high - low < BRACKET_TOLERANCE {
            break;
        }
        if sum > n {
            low = lambda;
        } else {
            high = lambda;
        }
        lambda = within_or_midpoint(lambda - (sum - n) / slope, low, high);
    }
    ShareSolution {
        shares: inputs.iter().map(|input| input.share(lambda)).collect(),
        lambda,
    }
}

/// Returns the lowest price of the backends without an upper bound, or of all backends if each has
/// one. Bounded backends do not count beside unbounded ones because a bounded backend may stay
/// cheap as it is idle, and would reduce the shares of the others to 0 if it counted.
fn cheapest_price(inputs: &[ShareInput]) -> f64 {
    let cheapest = |is_bounded: bool| {
        inputs
            .iter()
            .filter(|input| input.max_share.is_finite() == is_bounded)
            .map(|input| input.price)
            .fold(f64::INFINITY, f64::min)
    };
    let cheapest_unbounded = cheapest(false);
    if cheapest_unbounded.is_finite() {
        cheapest_unbounded
    } else {
        cheapest(true)
    }
}

/// Returns the sum of the shares at this lambda and its derivative.
fn sum_of_shares(inputs: &[ShareInput], lambda: f64) -> ShareSum {
    let (mut sum, mut slope) = (0.0, 0.0);
    for input in inputs {
        let share = input.share(lambda);
        sum += share;
        if share > 0.0 && share < input.max_share {
            slope -= 1.0 / (input.price + lambda).powi(2);
        }
    }
    ShareSum { sum, slope }
}

/// Returns `value` if it lies between `low` and `high`, otherwise their midpoint.
fn within_or_midpoint(value: f64, low: f64, high: f64) -> f64 {
    if value > low && value < high {
        value
    } else {
        f64::midpoint(low, high)
    }
}

#[cfg(test)]
#[path = "share_solver_tests.rs"]
mod tests;
