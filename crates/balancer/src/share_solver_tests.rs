//! Tests of the share solver: feasibility, optimality, upper bounds and extreme inputs.

use super::*;
use crate::random::Random;

fn input(price: f64, speed: f64) -> ShareInput {
    ShareInput {
        price,
        speed,
        max_share: f64::INFINITY,
    }
}

fn solved(inputs: &[ShareInput]) -> Vec<f64> {
    solve_shares(inputs, 0.0, 0.5).shares
}

fn utility_minus_price(inputs: &[ShareInput], shares: &[f64]) -> f64 {
    inputs
        .iter()
        .zip(shares)
        .map(|(backend, share)| (1.0 + share * backend.speed).ln() - backend.price * share)
        .sum()
}

#[test]
fn shares_are_feasible_and_optimal() {
    let mut random = Random::new(3);
    for n in 1..30usize {
        let inputs: Vec<ShareInput> = (0..n)
            .map(|_| input(random.uniform() * 2.0, 0.1 + 2.0 * random.uniform()))
            .collect();
        let shares = solved(&inputs);
        assert!((shares.iter().sum::<f64>() - n as f64).abs() < 1e-4 * n as f64);
        assert!(shares.iter().all(|share| *share >= 0.0));
        // Checks optimality independently of the solver: moving a small amount of share from one
        // backend to another never raises the sum of utility minus price.
        let optimum = utility_minus_price(&inputs, &shares);
        for from in 0..n {
            for to in 0..n {
                let mut other = shares.clone();
                let moved = (0.01f64).min(other[from]);
                other[from] -= moved;
                other[to] += moved;
                assert!(
                    utility_minus_price(&inputs, &other) <= optimum + 1e-6,
                    "{from} to {to} of {n}"
                );
            }
        }
    }
}

/// A warming backend gets few requests, is idle and becomes cheap. The other backends must still
/// get all the traffic that it cannot take, however expensive they are compared with it.
#[test]
fn traffic_beyond_the_bound_of_a_cheap_backend_goes_to_the_others() {
    let warming = ShareInput {
        max_share: 0.1,
        ..input(0.0, 1.0)
    };
    let shares = solved(&[warming, input(1.5, 1.0), input(1.6, 1.0), input(1.7, 1.0)]);
    assert!(
        (shares.iter().sum::<f64>() - 4.0).abs() < 1e-3,
        "{shares:?}"
    );
    assert!(
        shares[0] <= 0.1 && shares[1] > shares[2] && shares[2] > shares[3] && shares[3] > 0.0,
        "{shares:?}"
    );
}

#[test]
fn extreme_prices_and_speeds_are_solved() {
    assert!((solved(&[input(5.0, 1.0)])[0] - 1.0).abs() < 1e-5);
    let shares = solved(&[
        input(1e9, 1.0),
        input(0.0, 1e6),
        input(0.0, 0.01),
        input(3.0, 1.0),
    ]);
    assert!(
        (shares.iter().sum::<f64>() - 4.0).abs() < 1e-3,
        "{shares:?}"
    );
    assert_eq!(shares[0], 0.0);
    // Upper bounds that leave no room for all the traffic: no backend gets the rest of it.
    let bounded: Vec<ShareInput> = (0..4)
        .map(|_| ShareInput {
            max_share: 0.5,
            ..input(0.1, 1.0)
        })
        .collect();
    assert_eq!(solved(&bounded), vec![0.5; 4]);
    let bounded_to_zero = [ShareInput {
        max_share: 0.0,
        ..input(0.0, 1.0)
    }];
    assert_eq!(solved(&bounded_to_zero), vec![0.0]);
}
