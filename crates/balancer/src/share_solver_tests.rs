//! Tests of the share program: feasibility, optimality, bounds and extremes.

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

fn utility(inputs: &[ShareInput], shares: &[f64]) -> f64 {
    inputs
        .iter()
        .zip(shares)
        .map(|(l, s)| (1.0 + s * l.speed).ln() - l.price * s)
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
        assert!(shares.iter().all(|s| *s >= 0.0));
        // Independent check: no small move of share from one backend to another raises the sum of
        // utility less price.
        let best = utility(&inputs, &shares);
        for from in 0..n {
            for to in 0..n {
                let mut other = shares.clone();
                let moved = (0.01f64).min(other[from]);
                other[from] -= moved;
                other[to] += moved;
                assert!(
                    utility(&inputs, &other) <= best + 1e-6,
                    "{from} to {to} of {n}"
                );
            }
        }
    }
}

/// A warming backend gets little, is idle and grows cheap. The others must still get all that it
/// cannot take, however expensive they are beside it.
#[test]
fn a_cheap_bounded_backend_does_not_close_the_others() {
    let cold = ShareInput {
        max_share: 0.1,
        ..input(0.0, 1.0)
    };
    let shares = solved(&[cold, input(1.5, 1.0), input(1.6, 1.0), input(1.7, 1.0)]);
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
    // Bounds that leave no room: what is left over is not forced on anyone.
    let tight: Vec<ShareInput> = (0..4)
        .map(|_| ShareInput {
            max_share: 0.5,
            ..input(0.1, 1.0)
        })
        .collect();
    assert_eq!(solved(&tight), vec![0.5; 4]);
    let closed = [ShareInput {
        max_share: 0.0,
        ..input(0.0, 1.0)
    }];
    assert_eq!(solved(&closed), vec![0.0]);
}
