//! Non-negative linear least squares for a small number of terms.

/// A smaller pivot counts as zero: the system is singular, as the measurements do not distinguish the terms.
const MIN_PIVOT: f64 = 1e-12;

/// The solution of a least-squares problem.
pub(crate) struct Solution {
    /// One non-negative coefficient per column.
    pub(crate) coefficients: Vec<f64>,
    /// Sum of the squared residuals.
    pub(crate) squared_error: f64,
}

/// Solves `rows · coefficients = targets` in the least-squares sense with non-negative coefficients. Every subset of
/// the columns is solved without the constraint; of the solutions that satisfy it, the one with the smallest error is
/// taken. If there is none, all coefficients are 0.
pub(crate) fn solve_non_negative(rows: &[Vec<f64>], targets: &[f64], columns: usize) -> Solution {
    let solutions = (1..1usize << columns).filter_map(|subset| solve_subset(rows, targets, subset));
    let valid = solutions.filter(|coefficients| coefficients.iter().all(|c| *c >= 0.0));
    let with_errors = valid.map(|coefficients| Solution {
        squared_error: squared_error(rows, targets, &coefficients),
        coefficients,
    });
    with_errors.min_by(|a, b| a.squared_error.total_cmp(&b.squared_error)).unwrap_or_else(|| {
        let zeros = vec![0.0; columns];
        Solution { squared_error: squared_error(rows, targets, &zeros), coefficients: zeros }
    })
}

fn squared_error(rows: &[Vec<f64>], targets: &[f64], coefficients: &[f64]) -> f64 {
    let estimate = |row: &Vec<f64>| row.iter().zip(coefficients).map(|(x, c)| x * c).sum::<f64>();
    rows.iter().zip(targets).map(|(row, target)| (estimate(row) - target).powi(2)).sum()
}

/// Unconstrained least squares over the columns whose bit is set in `subset`; the coefficients of the others are 0.
/// `None` if the system is singular.
fn solve_subset(rows: &[Vec<f64>], targets: &[f64], subset: usize) -> Option<Vec<f64>> {
    let columns = rows.first()?.len();
    let chosen: Vec<usize> = (0..columns).filter(|column| subset >> column & 1 == 1).collect();
    let solved = eliminate(normal_equations(rows, targets, &chosen))?;
    let mut coefficients = vec![0.0; columns];
    for (column, value) in chosen.iter().zip(solved) {
        coefficients[*column] = value;
    }
    Some(coefficients)
}

/// The normal equations over the chosen columns; the last element of each equation is its right-hand side.
fn normal_equations(rows: &[Vec<f64>], targets: &[f64], chosen: &[usize]) -> Vec<Vec<f64>> {
    let equation = |a: &usize| {
        let products = chosen.iter().map(|b| rows.iter().map(|row| row[*a] * row[*b]).sum::<f64>());
        let right_hand_side = rows.iter().zip(targets).map(|(row, target)| row[*a] * target).sum::<f64>();
        products.chain([right_hand_side]).collect()
    };
    chosen.iter().map(equation).collect()
}

/// Solves the equations by Gauss-Jordan elimination with partial pivoting; `None` if they are singular.
fn eliminate(mut equations: Vec<Vec<f64>>) -> Option<Vec<f64>> {
    let count = equations.len();
    for n in 0..count {
        let pivot = (n..count).max_by(|a, b| equations[*a][n].abs().total_cmp(&equations[*b][n].abs()))?;
        equations.swap(n, pivot);
        if equations[n][n].abs() < MIN_PIVOT {
            return None;
        }
        let normalized: Vec<f64> = equations[n].iter().map(|x| x / equations[n][n]).collect();
        for (_, equation) in equations.iter_mut().enumerate().filter(|(index, _)| *index != n) {
            let factor = equation[n];
            equation.iter_mut().zip(&normalized).for_each(|(x, y)| *x -= factor * y);
        }
        equations[n] = normalized;
    }
    Some(equations.iter().map(|equation| equation[equation.len() - 1]).collect())
}
